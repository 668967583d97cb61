"""Measurements; each prints one JSON object. Results stand in docs/MEASUREMENTS.md."""
