"""Errors of the registry."""


class UnavailableError(Exception):
    """This member cannot answer surely now; another one, or a later call, may."""
