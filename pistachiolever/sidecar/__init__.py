"""The sidecar, through which all requests to its endpoint pass."""
