"""Tests of the package admission."""
