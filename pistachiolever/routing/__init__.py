"""Pass-through routes: which service a caller's request goes to, and for whom."""
