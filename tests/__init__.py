"""Tests of pistachiolever; the folders mirror those of the package."""
