"""Tests of the package platform; not named alike, as `tests` is on the path."""
