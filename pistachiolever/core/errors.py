"""Errors that carry a verdict."""

from attrs import frozen

from pistachiolever.core.verdict import Verdict


@frozen
class Refusal:
    """Why a request got no complete answer, and whether it may have run.

    `retry_after_seconds` is 0 if a retry would not help.
    """

    verdict: Verdict
    reason: str
    detail: str = ""
    retry_after_seconds: float = 0.0


class RequestError(Exception):
    """A request was refused or got no complete answer."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal and format it as the message."""
        super().__init__(f"{refusal.reason}: {refusal.detail} ({refusal.verdict.name})")
        self.refusal = refusal


class ProtocolError(Exception):
    """A peer sent data that violates the internal protocol."""
