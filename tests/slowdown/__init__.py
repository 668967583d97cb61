"""Tests of the slowdown and the capacity classes of endpoints."""
