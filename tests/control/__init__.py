"""Tests of the package control."""
