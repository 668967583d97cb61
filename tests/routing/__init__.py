"""Tests of the package routing."""
