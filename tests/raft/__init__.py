"""Tests of the package raft."""
