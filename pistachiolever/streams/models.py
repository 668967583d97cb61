"""Where streams began, and the messages that tell of it."""

from hashlib import blake2b

from attrs import field, frozen

from pistachiolever.streams.const import KEY_BYTES


@frozen
class StreamOrigin:
    """The service and the software version of the endpoint that began a stream.

    What two versions of one service write doesn't fit together.
    """

    service_id: str
    version: str


@frozen
class StreamReport:
    """What is known of one stream, and for how long it matters, in milliseconds.

    There is more than one origin only if an endpoint began it whose events never came.
    """

    origins: list[StreamOrigin]
    left_ms: int


@frozen
class StreamQuery:
    """Asks a member of the registry for streams by key, and for versions of services.

    `window_ms` is how long ago a version may have served to count.
    """

    keys: list[str]
    service_ids: list[str]
    window_ms: int


@frozen
class StreamReply:
    """What a member knows; `versions` are those of each service within the window.

    `observed_ms` is for how long the member has heard of endpoints and kept records, 0
    while it may have missed some. `saved` are the versions that it has on disk, None
    from a member of an earlier build, `bases` the base versions among them.
    """

    streams: dict[str, StreamReport] = field(factory=dict)
    versions: dict[str, list[str]] = field(factory=dict)
    observed_ms: int = 0
    saved: dict[str, list[str]] | None = None
    bases: dict[str, str] = field(factory=dict)


@frozen
class StreamRecords:
    """Asks a member to keep streams on its disk before their events are forwarded."""

    streams: dict[str, StreamReport]


def stream_key(account_id: str, request_id: str) -> str:
    """Return the key of the stream that a request of an account began.

    Only the same account can name it, and its size does not depend on the ids.
    """
    digest = blake2b(digest_size=KEY_BYTES)
    for text in (account_id, request_id):
        data = text.encode()
        digest.update(b"%d:%s" % (len(data), data))
    return digest.hexdigest()
