"""Tests of the package router."""
