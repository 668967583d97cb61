"""Tests of the package http1."""
