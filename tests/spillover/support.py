"""Routers and loads for tests of spillover."""

from random import Random

from attrs import define, evolve, field

from pistachiolever.admission.models import Load
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.spillover.models import (
    LeavingRequest,
    Option,
    Price,
    ShortageChange,
)
from pistachiolever.spillover.spillover import Spillover
from pistachiolever.usage.models import MeasuredLoad

SETTINGS = GatewaySettings(
    "r", "d1", "", "", "", 8.0, 0.2, 10.0, 50.0, spillover_enabled=True
)
ENGINES = 8
SLOTS = 128
SPEED = 50_000.0
SHORT_REQUEST = LeavingRequest("models", 20_000, 0.5)


def announce(domain: str, number: int) -> Announcement:
    """Return the announcement of an engine."""
    name = f"{domain}-{number}"
    return Announcement(
        name, 1, 1, EndpointState.READY, "models", f"{name}:80", domain, SLOTS
    )


def load_of(pressure: float) -> Load:
    """Return the load of an engine whose queue causes a pressure."""
    wait = pressure * SETTINGS.spillover_short_wait_seconds
    return Load(unread_tokens=wait * SPEED, slots=SLOTS, speed=SPEED)


@define
class Changes:
    """Keeps the changes that it is told of."""

    changes: list[ShortageChange] = field(factory=list)

    def record_shortage(self, change: ShortageChange) -> None:
        """Keep a change."""
        self.changes.append(change)


@define
class TestRouter:
    """A router's spillover in a domain, with the loads that it is told."""

    __test__ = False

    seed: int = 0
    domain: str = "d1"
    router_count: int = 26
    changes: Changes = field(factory=Changes)
    spillover: Spillover = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without loads."""
        self.spillover = Spillover(
            evolve(SETTINGS, failure_domain=self.domain),
            Random(self.seed),
            lambda: self.router_count,
            self.changes,
        )

    def hear(self, pressure_by_domain: dict[str, float], at: float) -> None:
        """Record one load of each engine."""
        for domain, pressure in pressure_by_domain.items():
            for number in range(ENGINES):
                measured = MeasuredLoad(load_of(pressure), at)
                self.spillover.record_load(announce(domain, number), measured)

    def hear_for(
        self, pressure_by_domain: dict[str, float], start: float, seconds: float
    ) -> float:
        """Record loads four times a second; return the time of the last ones."""
        for step in range(round(seconds * 4) + 1):
            at = start + step / 4
            self.hear(pressure_by_domain, at)
            self.price(at)
        return at

    def price(
        self,
        at: float,
        to: str = "d2",
        request: LeavingRequest = SHORT_REQUEST,
        work: float = 0.01,
        home_work: float = 0.01,
    ) -> Price:
        """Return the price of leaving for a domain."""
        options = [
            Option(self.domain, home_work, 0.2, SLOTS),
            Option(to, work, 0.0, SLOTS),
        ]
        return self.spillover.prices(request, options, at)[1]
