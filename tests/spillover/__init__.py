"""Tests of spillover between failure domains."""
