"""Tests of fair service."""
