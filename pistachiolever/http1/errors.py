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

    `sent` is false only if no byte of the request can have been sent; `is_local` is
    true if this process had no descriptor left, which says nothing of the peer.
    `refused` is true if nobody listens at the peer's address.
    """

    def __init__(
        self,
        detail: str,
        sent: bool = True,
        is_local: bool = False,
        refused: bool = False,
    ) -> None:
        """Store the detail, whether the request may have been sent, and the cause."""
        super().__init__(detail)
        self.detail = detail
        self.sent = sent
        self.is_local = is_local
        self.refused = refused


class MalformedMessageError(Exception):
    """A message breaks the rules of HTTP/1.1, or can't be sent under them.

    `status` is the status of the response if it is a request.
    """

    def __init__(self, detail: str, status: int = 400) -> None:
        """Store the detail and the status."""
        super().__init__(detail)
        self.detail = detail
        self.status = status
