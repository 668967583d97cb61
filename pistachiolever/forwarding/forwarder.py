"""Forwards the connections that a router has no time for to its siblings."""

from collections.abc import Callable
from random import Random
from re import compile as compile_pattern
from socket import socket
from typing import Final, Protocol

from absl import logging
from anyio import create_task_group, sleep
from anyio.abc import TaskGroup
from attrs import define, field

from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.forwarding.const import (
    BROKEN_OFF_RESPONSE,
    DEADLINE_MARGIN_SECONDS,
    GREETING_REPLY,
    MAX_TRIES,
    PREFACE_START,
    QUERY_POLL_SECONDS,
    REFUSAL,
    TIMED_OUT_RESPONSE,
)
from pistachiolever.forwarding.models import ForwardOutcome
from pistachiolever.forwarding.siblings import Sibling, SiblingTable
from pistachiolever.forwarding.splice import Splice, end_unfinished
from pistachiolever.http1.screening import END_OF_HEAD
from pistachiolever.metrics.instruments import FORWARDED, Instruments

PREFACE_LINE: Final = compile_pattern(rb"FORWARD (-?[0-9]{1,20})\r\n")
GREETING_HEAD: Final = compile_pattern(rb"FORWARD (-?[0-9]{1,20})")


class ForwardingRouter(Protocol):
    """The router that forwards, or that takes what a sibling forwards."""

    def version(self) -> int:
        """Return the version of the configuration in force, -1 without one."""

    def request_id_of(self, head: bytes) -> str:
        """Return the id of a request by its unparsed head."""

    def response_seconds(self, head: bytes) -> float:
        """Return how long a response may take, by the unparsed head of its request."""

    def may_forward(self) -> bool:
        """Return whether to forward a new connection if a sibling has time."""

    def may_take(self, head: bytes) -> bool:
        """Return whether to take a forwarded connection, by the head of its request."""

    def refuse(self, head: bytes) -> bytes:
        """Return the response to a request for which no router has time."""

    def count_forwarded(self, change: int) -> None:
        """Count a connection that begins or ends to be forwarded."""

    def is_busy(self) -> bool:
        """Return whether connections may have to be forwarded soon."""


class SiblingFinder(Protocol):
    """Finds the siblings of a router."""

    async def find(self) -> list[str] | None:
        """Return their addresses, None if nobody could be asked."""


@define(eq=False)
class Forwarder:
    """Forwards connections, one request each."""

    router: ForwardingRouter
    finder: SiblingFinder
    events: EventLogger
    instruments: Instruments
    rng: Random
    now: Callable[[], float]
    table: SiblingTable = field(factory=SiblingTable)
    splices: dict[Splice, None] = field(factory=dict)
    forwarded_count: int = 0
    _group: TaskGroup | None = None

    async def run(self) -> None:
        """Keep the siblings up to date until cancelled."""
        async with create_task_group() as group:
            self._group = group
            while True:
                if self.table.is_query_due(self.router.is_busy(), self.now()):
                    self.table.queried_at = self.now()
                    addresses = await self.finder.find()
                    if addresses is not None:
                        self.table.update(addresses)
                await sleep(QUERY_POLL_SECONDS)

    def takes(self, head: bytes) -> bool:
        """Return whether a new connection is forwarded."""
        if self._group is None or not self.router.may_forward():
            return False
        return self.table.has_free(self.now())

    def forward(self, raw: socket, head: bytes, received: bytes) -> None:
        """Forward an accepted connection in a task of its own, after `takes`."""
        sibling = self._reserve([])
        assert self._group is not None and sibling is not None
        seconds = self.router.response_seconds(head) + DEADLINE_MARGIN_SECONDS
        splice = Splice(received, self.now() + seconds, self.now)
        self.splices[splice] = None
        self.router.count_forwarded(1)
        self.forwarded_count += 1
        self._group.start_soon(self._run_splice, splice, raw, head, sibling)

    def count(self) -> int:
        """Return the number of connections that are forwarded."""
        return len(self.splices)

    def abandon(self) -> None:
        """End all connections: those without a response get 502."""
        for splice in self.splices:
            splice.abandon()

    def _reserve(self, tried: list[str]) -> Sibling | None:
        """Return the next sibling for a connection, None if there is none.

        It counts at once, so that no other connection gets the same turn.
        """
        if len(tried) >= MAX_TRIES:
            return None
        sibling = self.table.choose(set(tried), self.now(), self.rng)
        if sibling is not None:
            self.table.begin(sibling, self.now())
        return sibling

    async def _run_splice(
        self, splice: Splice, raw: socket, head: bytes, first: Sibling
    ) -> None:
        """Forward a connection to siblings in turn until one takes it."""
        try:
            await splice.accept(raw)
        except (OSError, ValueError):
            # The caller has reset the connection.
            raw.close()
            first.forwarded -= 1
            self._end(splice, head, ForwardOutcome.CALLER_LEFT, [])
            return
        tried: list[str] = []
        outcome = ForwardOutcome.REFUSED
        sibling: Sibling | None = first
        try:
            while sibling is not None:
                tried.append(sibling.address)
                outcome = await self._try(splice, sibling)
                may_repeat = outcome.allows_retry and splice.may_repeat()
                sibling = self._reserve(tried) if may_repeat else None
            await self._answer(splice, head, outcome)
        except Exception:  # noqa: BLE001
            # An error on one connection must not end the process.
            outcome = ForwardOutcome.BROKEN_OFF
            logging.exception("unexpected error on a forwarded connection")
        finally:
            splice.close()
            self._end(splice, head, outcome, tried)

    async def _try(self, splice: Splice, sibling: Sibling) -> ForwardOutcome:
        """Forward a connection to a reserved sibling."""
        try:
            outcome = await splice.forward(sibling.address, self.router.version())
        finally:
            sibling.forwarded -= 1
        self.table.record(sibling, outcome, self.now())
        return outcome

    async def _answer(
        self, splice: Splice, head: bytes, outcome: ForwardOutcome
    ) -> None:
        """Send the caller what the sibling has not sent."""
        if outcome is ForwardOutcome.ANSWERED:
            await splice.finish()
        elif outcome is ForwardOutcome.BROKEN_OFF:
            await end_unfinished(splice, BROKEN_OFF_RESPONSE)
        elif outcome is ForwardOutcome.TIMED_OUT:
            await end_unfinished(splice, TIMED_OUT_RESPONSE)
        elif outcome.allows_retry:
            await splice.respond(self.router.refuse(head))

    def _end(
        self, splice: Splice, head: bytes, outcome: ForwardOutcome, tried: list[str]
    ) -> None:
        """Count and record the end of a connection."""
        self.splices.pop(splice, None)
        self.router.count_forwarded(-1)
        self.instruments.count(FORWARDED, outcome.value)
        self.events.record(
            EventCode.REQUEST_FORWARDED,
            self.router.request_id_of(head),
            siblings=tried,
            outcome=outcome.value,
        )


@define
class ForwardedScreen:
    """Decides which connections of siblings are taken.

    A router with another configuration could handle the request otherwise than the
    forwarding one has handled earlier ones.
    """

    router: ForwardingRouter

    def is_active(self) -> bool:
        """Return that each connection is looked at."""
        return True

    def greet(self, head: bytes) -> bytes:
        """Return the reply to a greeting; empty to a request, or if it is refused."""
        match = GREETING_HEAD.fullmatch(head)
        if match is None or int(match[1]) != self.router.version():
            return b""
        return GREETING_REPLY

    def refusal(self, head: bytes) -> bytes:
        """Return the response to a connection that is not taken; empty if it is."""
        match = PREFACE_LINE.match(head)
        if match is None or int(match[1]) != self.router.version():
            return REFUSAL
        return b"" if self.router.may_take(head[match.end() :]) else REFUSAL


def without_preface(received: bytes) -> bytes | None:
    """Return the bytes of the caller that a sibling has forwarded.

    None without a preface and a whole head.
    """
    if not received.startswith(PREFACE_START) or END_OF_HEAD not in received:
        return None
    return received.partition(b"\r\n")[2]
