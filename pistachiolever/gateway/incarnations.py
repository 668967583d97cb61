"""Finds out whether an endpoint is still the incarnation that announced itself.

An endpoint can come back under its id and address with another software version before
its announcement arrives. Nothing in its responses shows that.
"""

from collections.abc import Callable
from typing import Protocol

from anyio import Lock
from attrs import define, field, frozen

from pistachiolever.discovery.models import Announcement
from pistachiolever.edge.errors import PeerError
from pistachiolever.gateway.const import INCARNATION_CHECK_SECONDS


class StartTimeProbe(Protocol):
    """Asks an endpoint when it started."""

    async def __call__(self, address: str) -> int:
        """Return the start time in ms since the epoch; raise PeerError."""


class StartTimeReport(Protocol):
    """What an engine reports of itself."""

    @property
    def born_ms(self) -> int:
        """Return its start time in ms since the epoch."""


class ReportProbe(Protocol):
    """Fetches reports of one engine."""

    async def report(self) -> StartTimeReport:
        """Return the engine's report; raise PeerError."""


@frozen
class ReportedStartTimes:
    """Reads start times from the reports of engines, whose probes it makes."""

    make_probe: Callable[[str], ReportProbe]

    async def __call__(self, address: str) -> int:
        """Return the start time of an engine; raise PeerError."""
        report = await self.make_probe(address).report()
        return report.born_ms


@frozen
class ObservedStart:
    """The start time that an endpoint told at a time; None if it did not answer."""

    born_ms: int | None
    at: float


@define
class IncarnationCheck:
    """Compares announced start times with what endpoints tell when asked.

    Without a `probe` every endpoint is taken for the announced incarnation.
    """

    now: Callable[[], float]
    probe: StartTimeProbe | None = None
    observed_by_address: dict[str, ObservedStart] = field(factory=dict)
    lock_by_address: dict[str, Lock] = field(factory=dict)

    async def is_current(self, endpoint: Announcement) -> bool:
        """Return whether the endpoint is known to be the announced incarnation.

        An answer is used for INCARNATION_CHECK_SECONDS.
        """
        if self.probe is None:
            return True
        async with self.lock_by_address.setdefault(endpoint.address, Lock()):
            observed = self.observed_by_address.get(endpoint.address)
            if observed is None or self.now() - observed.at > INCARNATION_CHECK_SECONDS:
                observed = await self._observe(self.probe, endpoint.address)
                self.observed_by_address[endpoint.address] = observed
        return observed.born_ms == endpoint.born_ms

    async def _observe(self, probe: StartTimeProbe, address: str) -> ObservedStart:
        """Ask an endpoint when it started."""
        asked_at = self.now()
        try:
            return ObservedStart(await probe(address), asked_at)
        except PeerError:
            # The caller of the check logs that the endpoint is not used.
            return ObservedStart(None, self.now())

    def forget(self, address: str) -> None:
        """Forget what is known of an address that is no longer used."""
        self.observed_by_address.pop(address, None)
        self.lock_by_address.pop(address, None)
