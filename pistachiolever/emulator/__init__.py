"""Discrete-event emulation of a platform, for experiments with policies."""
