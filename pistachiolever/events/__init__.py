"""Numbered events, the logs they are written to, and reports made from logs."""
