"""Tests of pistachiolever; the folders mirror the package."""
