"""Directory of endpoints that announce themselves."""
