"""Estimates when the engines have room for a request, and when callers return."""
