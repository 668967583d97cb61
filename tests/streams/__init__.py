"""Tests of the record of streams."""
