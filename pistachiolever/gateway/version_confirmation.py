"""Asks the registry members about new and base versions of services."""

from anyio import create_task_group, sleep
from attrs import define, field

from pistachiolever.events.const import EventCode
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.registry.stream_lookup import PendingLookup, StreamLookup
from pistachiolever.streams.const import (
    CONFIRM_RETRY_SECONDS,
    NO_BASE_REFRESH_SECONDS,
    PROBE_KEY,
    PROBE_MS,
    UNTOLD_RETRY_SECONDS,
)
from pistachiolever.streams.models import StreamOrigin, StreamReport


@define
class VersionConfirmation:
    """Asks about a service until a majority knows all of its present versions.

    It has then told the base version, too.
    """

    fleet: FleetView
    lookup: StreamLookup
    asking: set[str] = field(factory=set)
    told_by_service: dict[str, str] = field(factory=dict)

    async def run(self) -> None:
        """Run until cancelled."""
        self.fleet.bases.is_asking = True
        async with create_task_group() as group:
            group.start_soon(self._refresh_bases)
            while services := await self.fleet.unconfirmed_services.get_all():
                for service_id in services:
                    if service_id not in self.asking:
                        self.asking.add(service_id)
                        group.start_soon(self._confirm, service_id)

    async def _refresh_bases(self) -> None:
        """Ask again about services whose base version may have changed."""
        while True:
            await sleep(NO_BASE_REFRESH_SECONDS)
            for service_id in self.fleet.bases.refresh(self.fleet.now()):
                self.fleet.unconfirmed_services.put(service_id)

    async def _confirm(self, service_id: str) -> None:
        """Ask about one service until its versions are confirmed or gone."""
        versions, bases, events = (
            self.fleet.versions,
            self.fleet.bases,
            self.fleet.events,
        )
        if versions.is_pending(service_id):
            events.record(
                EventCode.VERSION_UNCONFIRMED,
                service=service_id,
                versions=sorted(versions.pending_by_service[service_id]),
            )
        while self._is_open(service_id):
            if not await self._can_record(service_id):
                await sleep(CONFIRM_RETRY_SECONDS)
                continue
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
            self._settle_base(service_id, lookup)
            if versions.is_pending(service_id):
                await sleep(CONFIRM_RETRY_SECONDS)
            elif bases.is_unsettled(service_id):
                is_untold = bases.base_by_service[service_id].is_untold
                await sleep(
                    UNTOLD_RETRY_SECONDS if is_untold else CONFIRM_RETRY_SECONDS
                )
        self.asking.discard(service_id)

    def _is_open(self, service_id: str) -> bool:
        """Return whether members have to be asked about a service."""
        if service_id in self.fleet.unrecorded_services:
            return True
        is_pending = self.fleet.versions.is_pending(service_id)
        return is_pending or self.fleet.bases.is_unsettled(service_id)

    async def _can_record(self, service_id: str) -> bool:
        """Return whether members record streams again after they have not."""
        services = self.fleet.unrecorded_services
        if service_id not in services:
            return True
        report = StreamReport([StreamOrigin(service_id, "")], PROBE_MS)
        if await self.fleet.recorder.record(PROBE_KEY, report):
            services.discard(service_id)
        return service_id not in services

    def _settle_base(self, service_id: str, lookup: PendingLookup) -> None:
        """Apply what the members tell of the base version."""
        bases = self.fleet.bases
        if not bases.is_unsettled(service_id):
            return
        bases.apply_replies(service_id, lookup.replies, lookup.member_count)
        version = bases.base_by_service[service_id].version
        if version is not None and self.told_by_service.get(service_id) != version:
            self.told_by_service[service_id] = version
            self.fleet.events.record(
                EventCode.BASE_VERSION_FOUND, service=service_id, version=version
            )
