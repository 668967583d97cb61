"""Tests of fair sharing between accounts."""
