"""The inner protocol: typed messages and their codec."""
