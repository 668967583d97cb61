"""Claims idempotency keys before a non-repeatable request may be sent."""

from hashlib import sha256

from anyio import sleep
from attrs import define

from pistachiolever.core.errors import Refusal, RequestError
from pistachiolever.core.verdict import Verdict
from pistachiolever.edge.context import ProcessContext
from pistachiolever.edge.control_client import ControlClient
from pistachiolever.edge.errors import PeerError
from pistachiolever.router.const import BUSY_RETRY_AFTER_SECONDS, FREE_ATTEMPTS
from pistachiolever.router.requests import Submission
from pistachiolever.router.retry import retry_delay
from pistachiolever.wire.const import CLAIM_CLOSE_PATH, CLAIM_OPEN_PATH
from pistachiolever.wire.models import ClaimAnswer, ClaimClose, ClaimClosed, ClaimOpen


@define
class ClaimClient:
    """Opens and frees claims at control."""

    context: ProcessContext
    control: ControlClient
    unfreed: int = 0

    async def open(self, submission: Submission, request_id: str) -> ClaimAnswer:
        """Claim the key; raise RequestError when control is out of reach.

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
                "the claim could not be stored; send it again with the same key",
                BUSY_RETRY_AFTER_SECONDS,
            )
            raise RequestError(refusal) from error

    async def free(self, attempt_id: str) -> None:
        """Free the key of an attempt that was certainly not run; try for a while.

        If control stays out of reach the claim stays open: a resend is told
        MAY_HAVE_RUN and never runs twice.
        """
        self.unfreed += 1
        message = ClaimClose(self.context.sender(), attempt_id, Verdict.NOT_RUN)
        for attempt in range(FREE_ATTEMPTS):
            try:
                await self.control.call(CLAIM_CLOSE_PATH, message, ClaimClosed)
                break
            except PeerError:
                await sleep(retry_delay(attempt, self.context.rng))
        self.unfreed -= 1
