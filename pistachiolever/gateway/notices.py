"""What endpoints have asked of this router in their responses: to leave, to pause.

A notice belongs to one incarnation of an endpoint, so no announcement undoes it.
"""

from collections import OrderedDict
from enum import Enum

from attrs import define, field, frozen

from pistachiolever.core.pause import PAUSE_RAMP_SECONDS
from pistachiolever.discovery.models import Announcement
from pistachiolever.gateway.const import MAX_NOTICES

Incarnation = tuple[str, int]


class Restriction(Enum):
    """Whether an endpoint's notices allow another request.

    A `LEAVING` endpoint takes requests that no other one can serve; a `LEFT` one takes
    none.
    """

    NONE = "none"
    LEAVING = "leaving"
    LEFT = "left"
    PAUSED = "paused"


@define
class EndpointNotice:
    """The notices of one incarnation; times are absolute seconds.

    `sent_since_pause` counts the requests since the end of the pause.
    """

    leaving_at: float | None = None
    paused_at: float = 0.0
    paused_until: float | None = None
    sent_since_pause: int = 0


@frozen
class EndedPause:
    """The end of a pause, which lasted `seconds`."""

    endpoint_id: str
    seconds: float


@define
class EndpointNotices:
    """The notices of all endpoints, by incarnation.

    A leaving endpoint serves for `drain_seconds` after its notice. `paused` are the
    incarnations whose pause still limits requests.
    """

    drain_seconds: float
    by_incarnation: OrderedDict[Incarnation, EndpointNotice] = field(
        factory=OrderedDict
    )
    paused: set[Incarnation] = field(factory=set)

    def record_leaving(self, endpoint: Announcement, now: float) -> bool:
        """Record that an endpoint is leaving; return whether that is new."""
        notice = self._notice(endpoint)
        if notice.leaving_at is not None:
            return False
        notice.leaving_at = now
        return True

    def record_pause(self, endpoint: Announcement, seconds: float, now: float) -> None:
        """Record that an endpoint wants no requests for some seconds.

        Of overlapping pauses the one that ends last counts.
        """
        notice = self._notice(endpoint)
        self.paused.add(_incarnation(endpoint))
        if notice.paused_until is None or now >= notice.paused_until:
            notice.paused_at = now
        notice.paused_until = max(notice.paused_until or 0.0, now + seconds)
        notice.sent_since_pause = 0

    def record_send(self, endpoint: Announcement, now: float) -> None:
        """Count a request sent to an endpoint."""
        notice = self.by_incarnation.get(_incarnation(endpoint))
        if notice is not None and notice.paused_until is not None:
            notice.sent_since_pause += now >= notice.paused_until

    def restriction(self, endpoint: Announcement, now: float) -> Restriction:
        """Return whether an endpoint may get another request now."""
        notice = self.by_incarnation.get(_incarnation(endpoint))
        if notice is None:
            return Restriction.NONE
        left_at = notice.leaving_at
        if left_at is not None and now - left_at >= self.drain_seconds:
            return Restriction.LEFT
        if now < _available_at(notice, endpoint.slots):
            return Restriction.PAUSED
        return Restriction.NONE if notice.leaving_at is None else Restriction.LEAVING

    def available_at(self, endpoint: Announcement) -> float | None:
        """Return from when on an endpoint may get another request; None for never."""
        notice = self.by_incarnation.get(_incarnation(endpoint))
        if notice is None:
            return 0.0
        if notice.leaving_at is not None:
            return None
        return _available_at(notice, endpoint.slots)

    def pop_ended_pauses(self, now: float) -> list[EndedPause]:
        """Forget the pauses after which requests are no longer limited."""
        ended: list[EndedPause] = []
        for incarnation in list(self.paused):
            notice = self.by_incarnation[incarnation]
            until = notice.paused_until
            if until is not None and now >= until + PAUSE_RAMP_SECONDS:
                ended.append(EndedPause(incarnation[0], until - notice.paused_at))
                notice.paused_until = None
                notice.sent_since_pause = 0
                self.paused.discard(incarnation)
        return ended

    def _notice(self, endpoint: Announcement) -> EndpointNotice:
        """Return the notice of an incarnation; drop the oldest one above the limit."""
        incarnation = _incarnation(endpoint)
        notice = self.by_incarnation.setdefault(incarnation, EndpointNotice())
        self.by_incarnation.move_to_end(incarnation)
        while len(self.by_incarnation) > MAX_NOTICES:
            oldest, _ = self.by_incarnation.popitem(last=False)
            self.paused.discard(oldest)
        return notice


def _incarnation(endpoint: Announcement) -> Incarnation:
    """Return what identifies an incarnation of an endpoint."""
    return (endpoint.endpoint_id, endpoint.born_ms)


def _available_at(notice: EndpointNotice, slots: int) -> float:
    """Return from when on a pause allows another request.

    After the pause the number of allowed requests rises within PAUSE_RAMP_SECONDS from
    one to the number of slots; then it is not limited.
    """
    if notice.paused_until is None:
        return 0.0
    fraction = min(1.0, notice.sent_since_pause / max(1, slots))
    return notice.paused_until + fraction * PAUSE_RAMP_SECONDS
