"""The gateway: a reverse proxy between callers and endpoints."""
