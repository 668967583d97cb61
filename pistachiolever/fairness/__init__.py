"""Accounting of service and the order of accounts."""
