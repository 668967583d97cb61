"""Quarantine of prompt parts under which endpoints crash."""
