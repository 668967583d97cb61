"""Estimates of failure domains, requests that may leave theirs, and prices."""

from enum import StrEnum

from attrs import frozen

from pistachiolever.admission.models import Load


class Reason(StrEnum):
    """What determines the price of another domain."""

    # The request does not leave.
    STAYS = "stays"
    # No recent loads of one of the two domains.
    UNKNOWN = "unknown"
    # Both domains have room.
    CALM = "calm"
    # The own domain is shorter than the other one.
    SHORT = "short"
    # The other domain is at least as short as the own one.
    BUSY = "busy"
    # This router has used its part of the other domain's spare capacity.
    USED = "used"
    # The first event would be late in the other domain, too.
    LATE = "late"


@frozen
class KnownLoad:
    """The load of an endpoint of a service and domain, measured at a time."""

    service_id: str
    domain: str
    load: Load
    at: float


@frozen
class DomainEstimate:
    """What a router estimates of a service in a domain.

    `pressure` is the mean over `endpoint_count` endpoints: 0 if idle, 1 if a further
    request finds no slot, or would wait too long. `spare` adds up their free parts:
    2.0 if two endpoints are idle. `age_seconds` is the mean age of the loads.
    """

    pressure: float
    spare: float
    endpoint_count: int
    age_seconds: float


@frozen
class LeavingRequest:
    """What the price depends on of a request that may leave its domain.

    `moved_bytes` are those of the request and of its expected response.
    `target_seconds` is the time left until its first event is due.
    """

    service_id: str = ""
    moved_bytes: int = 0
    target_seconds: float = float("inf")


@frozen
class Option:
    """An endpoint at which a request may run.

    `work_seconds` is the prefill that it needs there after reuse, `wait_seconds` the
    expected wait before it.
    """

    domain: str
    work_seconds: float
    wait_seconds: float
    slots: int


@frozen
class Price:
    """The price of an option, in seconds, and its reason."""

    seconds: float = 0.0
    reason: Reason = Reason.STAYS


@frozen
class Expectation:
    """When a bid goes to an endpoint, and the expected seconds to the first chunk."""

    endpoint_id: str
    at: float
    seconds: float


@frozen
class ShortageChange:
    """A domain begins or stops being short of endpoints of a service."""

    service_id: str
    domain: str
    is_short: bool
    estimate: DomainEstimate
