"""Tests of the package wire."""
