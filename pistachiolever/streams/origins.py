"""Decides which software version continues a stream that a caller resumes."""

from attrs import frozen

from pistachiolever.streams.models import StreamOrigin, StreamReply


@frozen
class Resolution:
    """The origin of a stream, or why none can be named.

    `is_recorded` is true if the stream is known to have begun.
    """

    origin: StreamOrigin | None = None
    reason: str = ""
    is_recorded: bool = False


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
    it began at the only version that has served within `window_seconds`, if most of the
    `member_count` members have heard of endpoints for so long. `own_versions` are those
    that this process knows itself.
    """
    origins = set(known)
    if len(origins) == 1:
        return Resolution(known[0], is_recorded=True)
    if origins:
        return Resolution(reason="several endpoints began it")
    window_ms = window_seconds * 1000
    witnesses = [reply for reply in replies if reply.observed_ms >= window_ms]
    if 2 * len(witnesses) <= member_count:
        return Resolution(reason="too few members know the versions")
    versions = set(own_versions)
    for reply in replies:
        versions.update(reply.versions.get(service_id, ()))
    if len(versions) != 1:
        return Resolution(reason=f"{len(versions)} versions may have begun it")
    return Resolution(StreamOrigin(service_id, versions.pop()))
