"""Tests of forwarded connections."""
