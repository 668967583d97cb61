"""Tests of the package edge."""
