"""Settings of a process."""

from attrs import field, frozen

from pistachiolever.settings.const import (
    DEFAULT_ATTACH_COUNT,
    DEFAULT_CLAIM_WINDOW_SECONDS,
    DEFAULT_DRAIN_SECONDS,
    DEFAULT_GRANT_SECONDS,
    DEFAULT_HEARTBEAT_SECONDS,
    DEFAULT_LEASE_SECONDS,
    DEFAULT_MAX_ANSWER_BYTES,
    DEFAULT_MAX_QUEUE_BYTES,
    DEFAULT_MAX_REQUEST_BYTES,
    DEFAULT_ORPHAN_SECONDS,
    DEFAULT_REATTACH_SECONDS,
    DEFAULT_REPLAY_BYTES,
    DEFAULT_REPLAY_SECONDS,
    DEFAULT_STALL_SECONDS,
    DEFAULT_STREAM_BUFFER_BYTES,
)


@frozen
class TlsSettings:
    """Paths of PEM files.

    `certificate_file` and `key_file` enable TLS for the server, `authority_file` for
    the clients.
    """

    certificate_file: str = ""
    key_file: str = ""
    authority_file: str = ""


@frozen
class StatsdSettings:
    """Address of the statsd server, as an IP address; port 0 disables metrics."""

    host: str = "127.0.0.1"
    port: int = 0
    prefix: str = "pistachiolever"


@frozen
class RouterSettings:
    """Settings of a router.

    `stream_buffer_bytes` limits the events buffered for one slow caller. A request
    whose sidecar does not reconnect within `reattach_seconds` is retried or ends.
    """

    max_queue_bytes: int = DEFAULT_MAX_QUEUE_BYTES
    max_request_bytes: int = DEFAULT_MAX_REQUEST_BYTES
    stream_buffer_bytes: int = DEFAULT_STREAM_BUFFER_BYTES
    reattach_seconds: float = DEFAULT_REATTACH_SECONDS


@frozen
class SidecarSettings:
    """Settings of a sidecar and its endpoint.

    Ended answers are kept for resumption within `replay_bytes` and `replay_seconds`.
    A run is cancelled `orphan_seconds` after its router disconnected unless a router
    resumes it, and fails if the endpoint sends nothing for `stall_seconds`. An unused
    grant expires after `grant_seconds`.
    """

    endpoint_id: str
    service_id: str
    endpoint_url: str
    max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES
    replay_bytes: int = DEFAULT_REPLAY_BYTES
    replay_seconds: float = DEFAULT_REPLAY_SECONDS
    orphan_seconds: float = DEFAULT_ORPHAN_SECONDS
    stall_seconds: float = DEFAULT_STALL_SECONDS
    grant_seconds: float = DEFAULT_GRANT_SECONDS


@frozen
class ControlSettings:
    """Settings of a control process.

    `attach_count` is the number of routers that use each endpoint. A claimed
    idempotency key is remembered for `claim_window_seconds`.
    """

    data_folder: str
    operator_key_sha256: str
    attach_count: int = DEFAULT_ATTACH_COUNT
    claim_window_seconds: float = DEFAULT_CLAIM_WINDOW_SECONDS


@frozen
class ProcessSettings:
    """All settings of a process, read at its start."""

    process_id: str
    address: str
    failure_domain: str
    fleet_secret: str
    control_addresses: list[str]
    heartbeat_seconds: float = DEFAULT_HEARTBEAT_SECONDS
    lease_seconds: float = DEFAULT_LEASE_SECONDS
    drain_seconds: float = DEFAULT_DRAIN_SECONDS
    tls: TlsSettings = field(factory=TlsSettings)
    statsd: StatsdSettings = field(factory=StatsdSettings)
    router: RouterSettings | None = None
    sidecar: SidecarSettings | None = None
    control: ControlSettings | None = None
