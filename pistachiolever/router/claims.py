"""Claims idempotency keys at control before a non-retryable request is sent."""

from hashlib import sha256

from anyio import sleep
from attrs import define

from pistachiolever.core.errors import Refusal, RequestError
from pistachiolever.core.verdict import Verdict
from pistachiolever.edge.context import ProcessContext
from pistachiolever.edge.control_client import ControlClient
from pistachiolever.edge.errors import PeerError
from pistachiolever.router.const import (
    BUSY_RETRY_AFTER_SECONDS,
    MAX_CLAIM_RELEASE_ATTEMPTS,
)
from pistachiolever.router.requests import Submission
from pistachiolever.router.retry import retry_delay
from pistachiolever.wire.const import CLAIM_CLOSE_PATH, CLAIM_OPEN_PATH
from pistachiolever.wire.models import ClaimAnswer, ClaimClose, ClaimClosed, ClaimOpen


@define
class ClaimClient:
    """Opens and releases claims at control."""

    context: ProcessContext
    control: ControlClient
    pending_releases: int = 0

    async def open(self, submission: Submission, request_id: str) -> ClaimAnswer:
        """Claim the key; raise RequestError if control is unreachable.

        Nothing is sent without a granted claim, so the verdict is NOT_RUN.
        """
        message = ClaimOpen(
            self.context.sender(),
            submission.account.id,
            submission.service.id,
            submission.idempotency_key,
            sha256(submission.input.encode()).hexdigest(),
            request_id,
        )
        try:
            return await self.control.call(CLAIM_OPEN_PATH, message, ClaimAnswer)
        except PeerError as error:
            refusal = Refusal(
                Verdict.NOT_RUN,
                "ledger-unreachable",
                "the claim could not be stored; retry with the same key",
                BUSY_RETRY_AFTER_SECONDS,
            )
            raise RequestError(refusal) from error

    async def release(self, attempt_id: str) -> None:
        """Release the key of an attempt that certainly did not run.

        Makes a limited number of tries. If control stays unreachable, the claim
        stays open: a retry of the caller gets MAY_HAVE_RUN and never runs twice.
        """
        self.pending_releases += 1
        message = ClaimClose(self.context.sender(), attempt_id, Verdict.NOT_RUN)
        for attempt in range(MAX_CLAIM_RELEASE_ATTEMPTS):
            try:
                await self.control.call(CLAIM_CLOSE_PATH, message, ClaimClosed)
                break
            except PeerError:
                await sleep(retry_delay(attempt, self.context.rng))
        self.pending_releases -= 1
