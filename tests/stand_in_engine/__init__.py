"""Tests of the package stand_ins; named differently as `tests` is on the path."""
