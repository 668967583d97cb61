"""Tests through real processes."""
