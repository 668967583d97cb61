"""A router fleet that shares model and booking capacity fairly."""
