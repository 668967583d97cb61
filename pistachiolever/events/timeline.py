"""Merges the events of all processes into a causally ordered timeline."""

from collections.abc import Iterable

from attrs import frozen

from pistachiolever.events.models import Event


@frozen
class TimelineFilter:
    """Selects events by their ids; an empty field matches every event."""

    request_id: str = ""
    account_id: str = ""
    endpoint_id: str = ""

    def matches(self, event: Event) -> bool:
        """Return whether the event has the ids that are set."""
        if self.request_id and event.request_id != self.request_id:
            return False
        if self.account_id and event.account_id != self.account_id:
            return False
        return not self.endpoint_id or event.endpoint_id == self.endpoint_id


def merge_events(
    events: Iterable[Event], timeline_filter: TimelineFilter
) -> list[Event]:
    """Return the matching events without duplicates, causes before effects."""
    event_by_key = {(event.process_id, event.sequence): event for event in events}
    matching = [
        event for event in event_by_key.values() if timeline_filter.matches(event)
    ]
    return sorted(matching, key=lambda e: (e.stamp, e.process_id, e.sequence))


def format_event(event: Event) -> str:
    """Return the event as one human-readable line."""
    parts = [
        f"{event.stamp.wall_ms / 1000:.3f}+{event.stamp.count}",
        f"{event.process_id:<18}",
        f"E{event.code:d} {event.code.name}",
    ]
    if event.request_id:
        parts.append(f"request={event.request_id[:8]}")
    if event.account_id:
        parts.append(f"account={event.account_id}")
    if event.endpoint_id:
        parts.append(f"endpoint={event.endpoint_id}")
    if event.detail:
        parts.append(event.detail)
    return "  ".join(parts)
