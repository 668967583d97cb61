"""Tests of the fleet-wide sums of usage and loads."""
