"""Declarations of operators: accounts, services, endpoints and presets."""
