"""System tests, which run a fleet of real processes."""
