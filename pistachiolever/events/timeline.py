"""Merges the events of all processes into causal order."""

from collections.abc import Iterable

from attrs import frozen

from pistachiolever.events.models import Event


@frozen
class TimelineFilter:
    """What to show; an empty field lets all pass."""

    request_id: str = ""
    account_id: str = ""
    endpoint_id: str = ""

    def passes(self, event: Event) -> bool:
        """Tell whether the event is asked for."""
        if self.request_id and event.request_id != self.request_id:
            return False
        if self.account_id and event.account_id != self.account_id:
            return False
        return not self.endpoint_id or event.endpoint_id == self.endpoint_id


def merge_events(
    events: Iterable[Event], timeline_filter: TimelineFilter
) -> list[Event]:
    """Return the events asked for, causes before effects, each once."""
    by_origin = {(event.process_id, event.sequence): event for event in events}
    wanted = [event for event in by_origin.values() if timeline_filter.passes(event)]
    return sorted(wanted, key=lambda e: (e.stamp, e.process_id, e.sequence))


def format_event(event: Event) -> str:
    """Return the event as one line for people."""
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
