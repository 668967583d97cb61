"""Asks the registry members about new software versions of services."""

from anyio import create_task_group, sleep
from attrs import define, field

from pistachiolever.events.const import EventCode
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.registry.stream_lookup import StreamLookup
from pistachiolever.streams.const import CONFIRM_RETRY_SECONDS


@define
class VersionConfirmation:
    """Asks about a service until a majority knows all of its present versions."""

    fleet: FleetView
    lookup: StreamLookup
    asking: set[str] = field(factory=set)

    async def run(self) -> None:
        """Run until cancelled."""
        async with create_task_group() as group:
            while services := await self.fleet.unconfirmed_services.get_all():
                for service_id in services:
                    if service_id not in self.asking:
                        self.asking.add(service_id)
                        group.start_soon(self._confirm, service_id)

    async def _confirm(self, service_id: str) -> None:
        """Ask about one service until its versions are confirmed or gone."""
        versions, events = self.fleet.versions, self.fleet.events
        events.record(
            EventCode.VERSION_UNCONFIRMED,
            service=service_id,
            versions=sorted(versions.pending_by_service[service_id]),
        )
        while versions.is_pending(service_id):
            lookup = await self.lookup.find_versions(service_id)
            confirmed = versions.apply_replies(
                service_id, lookup.replies, lookup.member_count
            )
            if confirmed:
                events.record(
                    EventCode.VERSION_CONFIRMED,
                    service=service_id,
                    versions=sorted(confirmed),
                )
            versions.forget_pending(service_id, self.fleet.present_versions(service_id))
            if versions.is_pending(service_id):
                await sleep(CONFIRM_RETRY_SECONDS)
        self.asking.discard(service_id)
