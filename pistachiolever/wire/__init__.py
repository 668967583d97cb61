"""The internal protocol between processes: typed messages and their codec."""
