"""Errors of the emulator."""


class InvalidExperimentError(Exception):
    """An experiment is invalid; `where` names the field or document at fault."""

    def __init__(self, where: str, reason: str) -> None:
        """Store where the fault is and format the message."""
        super().__init__(f"{where}: {reason}")
        self.where = where
