"""Tests of the package cli."""
