"""Tests of the package discovery."""
