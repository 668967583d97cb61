"""Finds out which software version began a stream that a caller resumes."""

from typing import Protocol

from attrs import define

from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.models import ProxyRequest
from pistachiolever.registry.stream_lookup import StreamLookup
from pistachiolever.streams.const import AGE_FACTOR
from pistachiolever.streams.origins import Resolution, resolve_origin


class OriginFinder(Protocol):
    """Finds out where streams began."""

    async def find(self, request: ProxyRequest) -> Resolution:
        """Return where the stream began that a request resumes."""


class NoOrigins:
    """Knows of no stream."""

    async def find(self, request: ProxyRequest) -> Resolution:
        """Return that the origin is unknown."""
        return Resolution(reason="there is no registry to ask")


@define
class StreamOrigins:
    """Asks this router's own records first, then the members of the registry."""

    fleet: FleetView
    lookup: StreamLookup

    async def find(self, request: ProxyRequest) -> Resolution:
        """Return where the stream began that a request resumes."""
        fleet, key = self.fleet, request.stream_key
        known = list(fleet.streams.origins(key, fleet.now()))
        if len(known) == 1:
            return Resolution(known[0], is_recorded=True)
        service_id = request.service.service_id
        window_seconds = AGE_FACTOR * request.route.timeout_seconds
        lookup = await self.lookup.find(key, service_id, window_seconds)
        for reply in lookup.replies:
            report = reply.streams.get(key)
            known += report.origins if report else []
        return resolve_origin(
            service_id,
            known,
            fleet.directory.versions(service_id, fleet.now() - window_seconds),
            lookup.replies,
            lookup.member_count,
            window_seconds,
        )
