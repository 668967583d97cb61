"""Errors of the HTTP layer."""


class BadRequestError(Exception):
    """A request is invalid or exceeds a limit; `status` is the response status."""

    def __init__(self, status: int, detail: str) -> None:
        """Store the status and the detail."""
        super().__init__(detail)
        self.status = status
        self.detail = detail


class PeerClosedError(Exception):
    """The peer closed or reset the connection, or violated the protocol.

    `sent` is false only if no byte of the request can have been sent.
    """

    def __init__(self, detail: str, sent: bool = True) -> None:
        """Store the detail and whether the request may have been sent."""
        super().__init__(detail)
        self.detail = detail
        self.sent = sent
