"""Errors in configurations."""


class InvalidConfigurationError(Exception):
    """A configuration is invalid; `path` is the path of the invalid field."""

    def __init__(self, path: str, reason: str) -> None:
        """Store the path of the field and the reason."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason
