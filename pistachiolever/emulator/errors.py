"""Errors of the emulator."""


class InvalidExperimentError(Exception):
    """An experiment can't be run as it is described; `where` names the fault."""

    def __init__(self, where: str, reason: str) -> None:
        """Keep where the fault is and the reason."""
        super().__init__(f"{where}: {reason}")
        self.where = where
