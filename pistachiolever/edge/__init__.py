"""HTTP servers and clients, keys and TLS."""
