"""Helpers shared by tests and benchmarks."""
