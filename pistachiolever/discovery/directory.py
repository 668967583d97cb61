"""Merges announcements that come late, twice or out of order."""

from attrs import define, evolve, field

from pistachiolever.discovery.const import (
    FORGET_SECONDS,
    TOMBSTONE_SECONDS,
    UNKNOWN_TOMBSTONE_SECONDS,
)
from pistachiolever.discovery.models import Announcement, EndpointState


@define
class EndpointRecord:
    """The newest announcement of an endpoint and when it was heard, in seconds."""

    announcement: Announcement
    heard_at: float
    change: int


@define
class EndpointDirectory:
    """The endpoints by id; every merge that matters gets a number.

    Merging gives the same in any order, so directories of several processes need
    only exchange announcements.
    """

    record_by_id: dict[str, EndpointRecord] = field(factory=dict)
    change_number: int = 0

    def merge(self, news: Announcement, now: float) -> bool:
        """Take in an announcement; tell whether it changed more than its age."""
        record = self.record_by_id.get(news.endpoint_id)
        if record is not None and news.sort_key <= record.announcement.sort_key:
            return False
        if news.state is not EndpointState.GONE:
            if self._is_held_back(news, record, now):
                return False
            if not self._owns(news, record) and not self._take_address(news, now):
                return False
        known = record.announcement if record else None
        matters = known is None or evolve(known, sequence=0) != evolve(news, sequence=0)
        if matters:
            self.change_number += 1
        number = self.change_number if matters or record is None else record.change
        self.record_by_id[news.endpoint_id] = EndpointRecord(news, now, number)
        return matters

    def mark_gone(
        self, endpoint_id: str, born_ms: int | None, now: float
    ) -> Announcement:
        """Note the end of an endpoint's life; return the announcement that says so."""
        record = self.record_by_id.get(endpoint_id)
        if record is None:
            news = Announcement(endpoint_id, born_ms or 0, 0, EndpointState.GONE)
        else:
            known = record.announcement
            born = known.born_ms if born_ms is None else born_ms
            news = evolve(known, state=EndpointState.GONE, born_ms=born)
        self.merge(news, now)
        return news

    def expire(self, now: float) -> list[str]:
        """Drop endpoints that are silent or gone for long; return their ids."""
        dropped = []
        for endpoint_id, record in list(self.record_by_id.items()):
            gone = record.announcement.state is EndpointState.GONE
            limit = TOMBSTONE_SECONDS if gone else FORGET_SECONDS
            if now - record.heard_at > limit:
                del self.record_by_id[endpoint_id]
                dropped.append(endpoint_id)
        return dropped

    def changed_since(self, change: int) -> list[Announcement]:
        """Return the announcements that changed after a number."""
        return [
            record.announcement
            for record in self.record_by_id.values()
            if record.change > change
        ]

    def active(self) -> list[Announcement]:
        """Return the endpoints that are not gone."""
        return [
            record.announcement
            for record in self.record_by_id.values()
            if record.announcement.state is not EndpointState.GONE
        ]

    def _is_held_back(
        self, news: Announcement, record: EndpointRecord | None, now: float
    ) -> bool:
        """Tell whether an end whose birth is not known covers the announcement."""
        if record is None or record.announcement.state is not EndpointState.GONE:
            return False
        unknown_birth = record.announcement.born_ms == 0
        return unknown_birth and now - record.heard_at < UNKNOWN_TOMBSTONE_SECONDS

    def _owns(self, news: Announcement, record: EndpointRecord | None) -> bool:
        """Tell whether the address was won before, in the same life."""
        if record is None or record.announcement.state is EndpointState.GONE:
            return False
        known = record.announcement
        return (known.born_ms, known.address) == (news.born_ms, news.address)

    def _take_address(self, news: Announcement, now: float) -> bool:
        """End whoever had the address before; tell whether the news is its owner's."""
        for endpoint_id, record in list(self.record_by_id.items()):
            other = record.announcement
            if other.address != news.address or endpoint_id == news.endpoint_id:
                continue
            if other.state is EndpointState.GONE:
                continue
            if other.born_ms > news.born_ms:
                return False
            self.change_number += 1
            ended = evolve(other, state=EndpointState.GONE)
            self.record_by_id[endpoint_id] = EndpointRecord(
                ended, now, self.change_number
            )
        return True
