"""Tests of the package sidecar."""
