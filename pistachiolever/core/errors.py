"""Errors that carry a verdict."""

from attrs import frozen

from pistachiolever.core.verdict import Verdict


@frozen
class Refusal:
    """Why a request got no (whole) answer, and whether it may have run.

    `retry_after_seconds` is 0 when asking again is of no use.
    """

    verdict: Verdict
    reason: str
    detail: str = ""
    retry_after_seconds: float = 0.0


class RequestError(Exception):
    """A request ended with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal."""
        super().__init__(f"{refusal.reason}: {refusal.detail} ({refusal.verdict.name})")
        self.refusal = refusal


class ProtocolError(Exception):
    """A peer sent something that the inner protocol does not allow."""
