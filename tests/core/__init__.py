"""Tests of the shared core."""
