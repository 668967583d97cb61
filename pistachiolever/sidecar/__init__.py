"""The sidecar: the only way to an endpoint."""
