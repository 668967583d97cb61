"""Tests of the package metrics."""
