"""Benchmarks; each prints JSON. Results are recorded in docs/MEASUREMENTS.md."""
