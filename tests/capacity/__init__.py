"""Tests of the estimate of free capacity."""
