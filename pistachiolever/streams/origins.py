"""Decides which software version continues a stream that a caller resumes."""

from collections import Counter

from attrs import frozen

from pistachiolever.streams.const import MAX_RECORD_COPIES
from pistachiolever.streams.models import StreamOrigin, StreamReply


@frozen
class Resolution:
    """The origin of a stream, or why none can be named.

    `is_recorded` is true if the stream is known to have begun.
    """

    origin: StreamOrigin | None = None
    reason: str = ""
    is_recorded: bool = False


def record_copies(member_count: int) -> int:
    """Return how many members have to keep a record, a majority unless there are many.

    A member without a disk, or out of reach, then hides none.
    """
    return min(member_count // 2 + 1, MAX_RECORD_COPIES)


def witnesses_needed(member_count: int) -> int:
    """Return how many members know that there is no record, if none of them has one.

    They are a majority, too, so that they know the versions.
    """
    majority = member_count // 2 + 1
    return max(majority, member_count - record_copies(member_count) + 1)


def resolve_origin(
    service_id: str,
    known: list[StreamOrigin],
    own_versions: set[str],
    replies: list[StreamReply],
    member_count: int,
    window_seconds: float,
) -> Resolution:
    """Return where a stream began.

    `known` is what this process and the members know of the stream. If nobody knows it,
    and most of the `member_count` members have missed nothing for `window_seconds`, it
    began at the base version of its service, or at the only version that has served
    within that time. `own_versions` are those that this process knows itself.
    """
    origins = set(known)
    if len(origins) == 1:
        return Resolution(known[0], is_recorded=True)
    if origins:
        return Resolution(reason="several endpoints began it")
    window_ms = window_seconds * 1000
    witnesses = [reply for reply in replies if reply.observed_ms >= window_ms]
    if len(witnesses) < witnesses_needed(member_count):
        return Resolution(reason="too few members know the versions")
    bases = Counter(reply.bases.get(service_id, "") for reply in witnesses)
    for base, count in bases.items():
        if base and 2 * count > member_count:
            return Resolution(StreamOrigin(service_id, base))
    versions = set(own_versions)
    for reply in replies:
        versions.update(reply.versions.get(service_id, ()))
    if len(versions) != 1:
        return Resolution(reason=f"{len(versions)} versions may have begun it")
    return Resolution(StreamOrigin(service_id, versions.pop()))
