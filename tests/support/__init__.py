"""Helpers that several tests and benchmarks share."""
