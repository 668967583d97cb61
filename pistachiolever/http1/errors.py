"""Errors of the HTTP layer."""


class BadRequestError(Exception):
    """A caller's request cannot be taken; `status` says how to answer it."""

    def __init__(self, status: int, detail: str) -> None:
        """Keep the status and the reason."""
        super().__init__(detail)
        self.status = status
        self.detail = detail


class PeerClosedError(Exception):
    """The other side closed, reset or broke the protocol of a connection.

    `sent` is false only when no byte of the request can have left.
    """

    def __init__(self, detail: str, sent: bool = True) -> None:
        """Keep the reason and whether anything was sent."""
        super().__init__(detail)
        self.detail = detail
        self.sent = sent
