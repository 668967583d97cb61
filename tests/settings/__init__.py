"""Tests of the package settings."""
