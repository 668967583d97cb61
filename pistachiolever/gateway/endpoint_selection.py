"""Selects the endpoints of a service that may get a request now."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from attrs import define, field

from pistachiolever.discovery.models import EndpointState
from pistachiolever.evacuation.const import EVACUATED
from pistachiolever.evacuation.view import EvacuationView
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.const import DRAINING_USE_FRACTION
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.endpoint_index import ServiceIndex
from pistachiolever.gateway.notices import EndpointNotices, Restriction
from pistachiolever.gateway.placement import Candidate
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.metrics.instruments import HELD_BACK, Instruments

# Restrictions under which a chosen endpoint still gets a request.
SENDABLE: Final = (Restriction.NONE, Restriction.LEAVING)


@define
class EndpointSelection:
    """Applies state, health and notices of the known endpoints.

    `handle_by_id` and `draining_since_by_id` belong to the view of the fleet, as does
    what `find_index` returns: the index of a service, or of one of its versions.
    """

    settings: GatewaySettings
    rng: Random
    now: Callable[[], float]
    events: EventLogger
    instruments: Instruments
    notices: EndpointNotices
    find_index: Callable[[str, str | None], ServiceIndex]
    handle_by_id: dict[str, EndpointHandle]
    draining_since_by_id: dict[str, float]
    evacuations: EvacuationView = field(factory=EvacuationView)

    def may_send(self, handle: EndpointHandle) -> bool:
        """Return whether evacuations and notices allow a request to a chosen endpoint.

        A leaving endpoint is chosen only if no other one can serve the request.
        """
        restriction = self.notices.restriction(handle.endpoint, self.now())
        if self._is_evacuated(handle):
            self._count_held_back(handle, EVACUATED)
        elif restriction not in SENDABLE:
            self._count_held_back(handle, restriction.value)
        return self._allows_request(handle)

    def _is_evacuated(self, handle: EndpointHandle) -> bool:
        """Return whether an endpoint is in an evacuated failure domain."""
        return self.evacuations.covers(handle.endpoint.failure_domain)

    def all_evacuated(self, service_id: str, version: str | None = None) -> bool:
        """Return whether evacuations leave no endpoint of a service.

        With a `version` only endpoints of that one count.
        """
        ids = self.find_index(service_id, version).ready.ids
        if not ids or not self.evacuations.domains:
            return False
        return all(self._is_evacuated(self.handle_by_id[item]) for item in ids)

    def held_back(self, service_id: str) -> dict[str, list[str]]:
        """Return the restricted endpoints of a service, by kind of restriction.

        An endpoint that is draining or unreachable by now is among them: it usually is
        soon after it has said that it leaves.
        """
        ids: dict[str, list[str]] = {}
        if not self.notices.by_incarnation:
            return ids
        now = self.now()
        for endpoint_id, handle in self.handle_by_id.items():
            if handle.endpoint.service_id != service_id:
                continue
            restriction = self.notices.restriction(handle.endpoint, now)
            if restriction is not Restriction.NONE:
                ids.setdefault(restriction.value, []).append(endpoint_id)
        return ids

    def pause_remaining(
        self, service_id: str, version: str | None = None
    ) -> float | None:
        """Return the seconds until the first endpoint of a service takes requests.

        None unless pauses prevent requests to all of its endpoints that stay. With a
        `version` only endpoints of that one count.
        """
        if not self.notices.paused:
            return None
        now = self.now()
        times = [
            self.notices.available_at(handle.endpoint)
            for handle in self._ready(service_id, set(), version)
        ]
        staying = [at for at in times if at is not None]
        if not staying or min(staying) <= now:
            return None
        return min(staying) - now

    def _count_held_back(self, handle: EndpointHandle, reason: str) -> None:
        """Count a dispatch that a notice or an evacuation prevented."""
        self.instruments.count(HELD_BACK, handle.endpoint.endpoint_id, reason)

    def _record_ended_pauses(self) -> None:
        """Log the pauses that no longer limit requests."""
        for pause in self.notices.pop_ended_pauses(self.now()):
            self.events.record(
                EventCode.ENDPOINT_RESUMED,
                endpoint=pause.endpoint_id,
                seconds=round(pause.seconds, 3),
            )

    def candidates(
        self,
        service_id: str,
        avoid: set[str],
        part_id: str = "",
        extra: Iterable[str] = (),
        version: str | None = None,
    ) -> list[Candidate]:
        """Return the endpoints of a service to consider for a request.

        `part_id` is the last shared part of its prompt, `extra` are further endpoints.
        With a `version` only endpoints of that one are considered.
        """
        chosen = self.find_index(service_id, version).choose(part_id, self.rng)
        chosen.update(dict.fromkeys(extra))
        handles = [
            handle
            for endpoint_id in chosen
            if (handle := self.handle_by_id.get(endpoint_id)) is not None
        ]
        accepting = self._accepting(handles, service_id, avoid, version)
        usable, _ = self._split_usable(accepting)
        return [
            handle.candidate(self.now())
            for handle in usable or self.usable(service_id, avoid, version)
        ]

    def usable(
        self, service_id: str, avoid: set[str], version: str | None = None
    ) -> list[EndpointHandle]:
        """Return all endpoints of a service that may get a request now.

        Leaving ones are used only if there are no others, draining ones only for
        streams that no other version can continue.
        """
        usable, leaving = self._split_usable(self._ready(service_id, avoid, version))
        if usable or leaving or version is None:
            return usable or leaving
        return [
            handle
            for endpoint_id in self.draining_since_by_id
            if (handle := self.handle_by_id[endpoint_id]).endpoint.version == version
            and handle.endpoint.service_id == service_id
            and endpoint_id not in avoid
            and self._allows_request(handle)
            and not handle.health.is_ejected(self.now())
        ]

    def _allows_request(self, handle: EndpointHandle) -> bool:
        """Return whether no evacuation, notice or drain prevents a request now.

        Control may have learned of the drain somewhat earlier than this router.
        """
        endpoint = handle.endpoint
        if self._is_evacuated(handle):
            return False
        if self.notices.restriction(endpoint, self.now()) not in SENDABLE:
            return False
        if endpoint.state is EndpointState.READY:
            return True
        since = self.draining_since_by_id.get(endpoint.endpoint_id, float("-inf"))
        allowed_seconds = DRAINING_USE_FRACTION * self.settings.drain_seconds
        return self.now() - since < allowed_seconds

    def has_usable(
        self, service_id: str, avoid: set[str], version: str | None = None
    ) -> bool:
        """Return whether another endpoint of a service may get a request now."""
        return bool(self.usable(service_id, avoid, version))

    def _split_usable(
        self, handles: Iterable[EndpointHandle]
    ) -> tuple[list[EndpointHandle], list[EndpointHandle]]:
        """Return the endpoints without restriction, and those that are leaving."""
        self._record_ended_pauses()
        usable: list[EndpointHandle] = []
        leaving: list[EndpointHandle] = []
        for handle in handles:
            restriction = self.notices.restriction(handle.endpoint, self.now())
            if restriction is Restriction.NONE:
                usable.append(handle)
                continue
            if restriction is Restriction.LEAVING:
                leaving.append(handle)
            self._count_held_back(handle, restriction.value)
        return usable, leaving

    def _ready(
        self, service_id: str, avoid: set[str], version: str | None
    ) -> list[EndpointHandle]:
        """Return all endpoints of a service that accept requests."""
        ids = self.find_index(service_id, version).ready.ids
        handles = [self.handle_by_id[endpoint_id] for endpoint_id in ids]
        return self._accepting(handles, service_id, avoid, version)

    def _accepting(
        self,
        handles: list[EndpointHandle],
        service_id: str,
        avoid: set[str],
        version: str | None,
    ) -> list[EndpointHandle]:
        """Return those of some endpoints that accept requests."""
        now = self.now()
        return [
            handle
            for handle in handles
            if handle.endpoint.service_id == service_id
            and version in (None, handle.endpoint.version)
            and handle.endpoint.state is EndpointState.READY
            and handle.endpoint.endpoint_id not in avoid
            and not self._is_evacuated(handle)
            and not handle.health.is_ejected(now)
        ]
