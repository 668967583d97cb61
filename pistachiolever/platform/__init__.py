"""Translates names, formats and calls of the platform; contains no decisions."""
