"""Errors of calls between processes."""


class PeerError(Exception):
    """A call to another process failed.

    `may_have_arrived` is false only when the call certainly had no effect.
    """

    def __init__(self, detail: str, may_have_arrived: bool, status: int = 0) -> None:
        """Keep what is known of the failure."""
        super().__init__(detail)
        self.may_have_arrived = may_have_arrived
        self.status = status
