"""Errors of configurations."""


class InvalidConfigurationError(Exception):
    """A configuration cannot be put in force; `where` names the field at fault."""

    def __init__(self, where: str, reason: str) -> None:
        """Keep the field and the reason."""
        super().__init__(f"{where}: {reason}")
        self.where = where
        self.reason = reason
