"""Tests of the package declarations."""
