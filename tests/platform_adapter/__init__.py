"""Tests of the package platform; named differently because `tests` is on the path."""
