"""HTTP servers and clients between processes and for callers, with keys and TLS."""
