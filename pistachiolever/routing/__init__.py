"""Configuration of the reverse proxy, and route look-up for requests."""
