"""Errors of calls between processes."""


class PeerError(Exception):
    """A call to another process failed.

    `may_have_arrived` is false only if the call certainly had no effect. `status` is
    the HTTP status of the response, or 0 if there was none.
    """

    def __init__(self, detail: str, may_have_arrived: bool, status: int = 0) -> None:
        """Store the detail, whether the call may have arrived, and the status."""
        super().__init__(detail)
        self.may_have_arrived = may_have_arrived
        self.status = status


class CallRefusedError(Exception):
    """Raised by a handler to respond with an error status instead of a reply."""

    def __init__(self, status: int, detail: str = "") -> None:
        """Store the HTTP status and the detail."""
        super().__init__(detail or str(status))
        self.status = status
        self.detail = detail
