"""Endpoints that announce themselves: who is there, in which life, in which state."""
