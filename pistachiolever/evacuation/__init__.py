"""Failure domains that operators evacuate."""
