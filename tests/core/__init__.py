"""Tests of the package core."""
