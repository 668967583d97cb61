"""Tests of the evacuation of failure domains."""
