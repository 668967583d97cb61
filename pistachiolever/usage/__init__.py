"""Accounts' usage and endpoints' loads over the whole fleet, summed by the registry."""
