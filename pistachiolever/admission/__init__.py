"""Admission control before one endpoint: engine limits and fair shares of accounts."""
