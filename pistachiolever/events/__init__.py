"""Numbered events and the time line."""
