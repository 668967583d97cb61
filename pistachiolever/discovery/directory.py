"""Merges announcements that arrive late, duplicated or out of order."""

from collections.abc import Callable

from attrs import define, evolve, field

from pistachiolever.discovery.check import find_problem
from pistachiolever.discovery.const import (
    ENDPOINT_EXPIRY_SECONDS,
    EXPIRY_KEPT_SECONDS,
    TOMBSTONE_SECONDS,
    UNKNOWN_TOMBSTONE_SECONDS,
    VERSION_KEPT_SECONDS,
)
from pistachiolever.discovery.models import Announcement, EndpointState


@define
class EndpointRecord:
    """The newest announcement of an endpoint and the time it was received, in seconds.

    `change_number` is the directory's change number when the record last changed.
    """

    announcement: Announcement
    received_at: float
    change_number: int


@define
class EndpointDirectory:
    """Endpoints by id; `change_number` is incremented by each change.

    `expired_by_id` holds the last announcements of endpoints that timed out,
    `version_seen_at` when a version of a service was last announced, or ended.

    The result of merging does not depend on the order, so the directories of several
    processes converge when they exchange announcements.

    `names_service` returns whether the configuration names a service, None if there is
    no configuration yet. Only an announcement for a named service may take the id or
    the address of another endpoint: anybody can send one.
    """

    names_service: Callable[[str], bool | None] = lambda _: True
    record_by_id: dict[str, EndpointRecord] = field(factory=dict)
    expired_by_id: dict[str, EndpointRecord] = field(factory=dict)
    change_number: int = 0
    version_seen_at: dict[tuple[str, str], float] = field(factory=dict)
    _ids_by_address: dict[str, set[str]] = field(factory=dict)
    _versions_by_service: dict[str, set[str]] = field(factory=dict)
    _versions_change: int = -1

    def merge(self, announcement: Announcement, now: float) -> bool:
        """Merge an announcement; return whether more than its sequence changed.

        One that names no endpoint to use changes nothing.
        """
        record = self.record_by_id.get(announcement.endpoint_id)
        if not self._is_newer(announcement, record) or find_problem(announcement):
            return False
        if announcement.state is not EndpointState.GONE:
            if self._is_blocked(announcement, record, now):
                return False
            if not self._claim_address(announcement, now):
                return False
        known = record.announcement if record else None
        if known is not None:
            self._record_version(known, now)
        self._record_version(announcement, now)
        changed = known is None or evolve(known, sequence=0) != evolve(
            announcement, sequence=0
        )
        if changed:
            self.change_number += 1
        number = (
            self.change_number if changed or record is None else record.change_number
        )
        self._set(EndpointRecord(announcement, now, number))
        return changed

    def restore(self, departure: Announcement, now: float) -> bool:
        """Restore the recorded departure of an endpoint; return whether it is news.

        It says nothing of which versions have served recently.
        """
        record = self.record_by_id.get(departure.endpoint_id)
        if record is not None and departure.sort_key <= record.announcement.sort_key:
            return False
        self.change_number += 1
        self._set(EndpointRecord(departure, now, self.change_number))
        return True

    def has_other_service(self, announcement: Announcement) -> bool:
        """Return whether an endpoint of another service has its id or address."""
        ids = self._ids_by_address.get(announcement.address, set())
        return any(
            record.announcement.service_id != announcement.service_id
            for endpoint_id in ids | {announcement.endpoint_id}
            if (record := self.record_by_id.get(endpoint_id)) is not None
            and record.announcement.state is not EndpointState.GONE
        )

    def mark_gone(
        self, endpoint_id: str, born_ms: int | None, now: float
    ) -> Announcement:
        """Record the end of an incarnation; return the announcement of it."""
        record = self.record_by_id.get(endpoint_id)
        if record is None:
            announcement = Announcement(
                endpoint_id, born_ms or 0, 0, EndpointState.GONE
            )
        else:
            known = record.announcement
            born = known.born_ms if born_ms is None else born_ms
            announcement = evolve(known, state=EndpointState.GONE, born_ms=born)
        self.merge(announcement, now)
        return announcement

    def expire(self, now: float) -> list[str]:
        """Remove old tombstones and endpoints that timed out; return their ids."""
        removed = []
        for endpoint_id, record in list(self.record_by_id.items()):
            gone = record.announcement.state is EndpointState.GONE
            limit = TOMBSTONE_SECONDS if gone else ENDPOINT_EXPIRY_SECONDS
            if now - record.received_at <= limit:
                continue
            self.discard(endpoint_id)
            removed.append(endpoint_id)
            if not gone:
                self.change_number += 1
                self.expired_by_id[endpoint_id] = EndpointRecord(
                    record.announcement, now, self.change_number
                )
        for endpoint_id, record in list(self.expired_by_id.items()):
            if now - record.received_at > EXPIRY_KEPT_SECONDS:
                del self.expired_by_id[endpoint_id]
        for key, seen_at in list(self.version_seen_at.items()):
            if now - seen_at > VERSION_KEPT_SECONDS:
                del self.version_seen_at[key]
        return removed

    def versions(self, service_id: str, seen_from: float) -> set[str]:
        """Return the versions of a service that served at a time or later."""
        recent = {
            version
            for (known_id, version), seen_at in self.version_seen_at.items()
            if known_id == service_id and seen_at >= seen_from
        }
        return recent | self._present_versions().get(service_id, set())

    def remembered_versions(self) -> dict[str, set[str]]:
        """Return the versions by service that serve or are not forgotten yet."""
        found = {name: set(v) for name, v in self._present_versions().items() if name}
        for service_id, version in self.version_seen_at:
            found.setdefault(service_id, set()).add(version)
        return found

    def restore_versions(
        self, versions_by_service: dict[str, set[str]], now: float
    ) -> None:
        """Remember versions that served before a restart as if they had just ended."""
        for service_id, versions in versions_by_service.items():
            for version in versions:
                self.version_seen_at.setdefault((service_id, version), now)

    def _present_versions(self) -> dict[str, set[str]]:
        """Return the versions of the present endpoints by service.

        Endpoints that timed out may serve on.
        """
        if self._versions_change != self.change_number:
            self._versions_change = self.change_number
            self._versions_by_service = {}
            timed_out = [record.announcement for record in self.expired_by_id.values()]
            for announcement in timed_out + self.active():
                versions = self._versions_by_service.setdefault(
                    announcement.service_id, set()
                )
                versions.add(announcement.version)
        return self._versions_by_service

    def changed_since(self, change_number: int) -> list[Announcement]:
        """Return the announcements that changed after a change number."""
        return [
            record.announcement
            for record in self.record_by_id.values()
            if record.change_number > change_number
        ]

    def expired_since(self, change_number: int) -> list[Announcement]:
        """Return the last announcements of endpoints that timed out since a change."""
        return [
            record.announcement
            for record in self.expired_by_id.values()
            if record.change_number > change_number
        ]

    def active(self) -> list[Announcement]:
        """Return the announcements of the endpoints that are not gone."""
        return [
            record.announcement
            for record in self.record_by_id.values()
            if record.announcement.state is not EndpointState.GONE
        ]

    def _is_blocked(
        self, announcement: Announcement, record: EndpointRecord | None, now: float
    ) -> bool:
        """Return whether a tombstone of unknown incarnation blocks the announcement."""
        if record is None or record.announcement.state is not EndpointState.GONE:
            return False
        is_unknown = record.announcement.born_ms == 0
        return is_unknown and now - record.received_at < UNKNOWN_TOMBSTONE_SECONDS

    def _is_newer(
        self, announcement: Announcement, record: EndpointRecord | None
    ) -> bool:
        """Return whether an announcement replaces what is known of its id.

        While the id belongs to another service, that depends on which of the two
        services are named.
        """
        if record is None:
            return True
        known = record.announcement
        if announcement.state is EndpointState.GONE or (
            known.service_id in ("", announcement.service_id)
        ):
            return announcement.sort_key > known.sort_key
        if not self.names_service(announcement.service_id):
            return False
        if self.names_service(known.service_id) is False:
            return True
        return announcement.sort_key > known.sort_key

    def _claim_address(self, announcement: Announcement, now: float) -> bool:
        """Mark older holders of the address gone; return False if one is newer.

        Endpoints of services that are not named neither take an address nor hold one.
        """
        if not self.names_service(announcement.service_id):
            return True
        older: list[Announcement] = []
        for other in self._holders(announcement.address):
            if other.endpoint_id == announcement.endpoint_id:
                continue
            if other.born_ms > announcement.born_ms:
                return False
            older.append(other)
        for other in older:
            self._end(other, now)
        return True

    def _holders(self, address: str) -> list[Announcement]:
        """Return the endpoints of named services that hold an address."""
        known = [
            self.record_by_id[endpoint_id].announcement
            for endpoint_id in self._ids_by_address.get(address, ())
        ]
        return [
            announcement
            for announcement in known
            if announcement.state is not EndpointState.GONE
            and self.names_service(announcement.service_id)
        ]

    def _end(self, announcement: Announcement, now: float) -> None:
        """Record the end of an endpoint whose address another one holds."""
        self.change_number += 1
        self._record_version(announcement, now)
        ended = evolve(announcement, state=EndpointState.GONE)
        self._set(EndpointRecord(ended, now, self.change_number))

    def settle_addresses(self, now: float) -> None:
        """Let the newest endpoint hold each address, after services were named."""
        for address, ids in list(self._ids_by_address.items()):
            if len(ids) < 2:
                continue
            holders = self._holders(address)
            holders.sort(key=lambda holder: (holder.born_ms, holder.endpoint_id))
            for older in holders[:-1]:
                self._end(older, now)

    def _record_version(self, announcement: Announcement, now: float) -> None:
        """Record that a version serves, or has just ended."""
        if announcement.service_id:
            key = (announcement.service_id, announcement.version)
            self.version_seen_at[key] = now

    def discard(self, endpoint_id: str) -> None:
        """Forget an endpoint, if it is known."""
        self._remove(endpoint_id)
        self._versions_change = -1

    def _remove(self, endpoint_id: str) -> None:
        """Remove the record of an endpoint, if there is one."""
        known = self.record_by_id.pop(endpoint_id, None)
        if known is None:
            return
        address = known.announcement.address
        self._ids_by_address[address].discard(endpoint_id)
        if not self._ids_by_address[address]:
            del self._ids_by_address[address]

    def _set(self, record: EndpointRecord) -> None:
        """Set the record of an endpoint."""
        announcement = record.announcement
        endpoint_id = announcement.endpoint_id
        self._remove(endpoint_id)
        self.expired_by_id.pop(endpoint_id, None)
        self.record_by_id[endpoint_id] = record
        self._ids_by_address.setdefault(announcement.address, set()).add(endpoint_id)
