"""Tests of the package events."""
