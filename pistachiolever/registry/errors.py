"""Errors of the registry."""


class UnavailableError(Exception):
    """This member cannot confirm the result now; retry later or at another member."""


class InvalidDomainError(Exception):
    """An order names no failure domain that could exist."""
