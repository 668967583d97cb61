"""How fast endpoints work: their present slowdown and their lasting capacity."""
