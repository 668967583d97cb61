"""Tests of the quarantine of prompt parts."""
