"""A fleet of routers that shares model engines and services fairly."""
