"""Tests of the package registry."""
