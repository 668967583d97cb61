"""Messages between routers, sidecars and control."""

from attrs import field, frozen

from pistachiolever.const import PROTOCOL_VERSION
from pistachiolever.core.clock import Stamp
from pistachiolever.core.verdict import Verdict


@frozen
class Sender:
    """The sending process, its incarnation and the logical time of a message."""

    process_id: str
    incarnation: str
    stamp: Stamp = Stamp()
    protocol_version: int = PROTOCOL_VERSION


# Router to sidecar.


@frozen
class Bid:
    """An account's bid for service at an endpoint.

    `virtual` is its virtual counter, the weighted service so far; `step` is what one
    more request would add to it. `count` is the number of queued requests, and
    `unserved_seconds` how long none of them has been dispatched.
    """

    account_id: str
    virtual: float
    step: float
    count: int
    unserved_seconds: float = 0.0


@frozen
class Bids:
    """The lowest bids of a router; replaces all its earlier bids."""

    bids: list[Bid]


@frozen
class Dispatch:
    """A request to run now.

    `grant_id` is empty if a spare credit is used. `attempt_id` identifies the claimed
    attempt of a non-idempotent request and is empty for other requests.
    """

    request_id: str
    account_id: str
    input: str
    max_output_tokens: int
    grant_id: str = ""
    attempt_id: str = ""
    bids: Bids | None = None


@frozen
class ReturnGrant:
    """Returns a grant that the router cannot use."""

    grant_id: str


@frozen
class Cancel:
    """Cancels a request whose answer is no longer needed."""

    request_id: str


@frozen
class Detach:
    """Stops sending the events of a request to this router, but buffers them.

    The request is cancelled if nobody resumes it within `keep_seconds`.
    """

    request_id: str
    keep_seconds: float


@frozen
class Resume:
    """Asks for the events of a request after the event number `after`."""

    request_id: str
    account_id: str
    after: int


RouterMessage = Bids | Dispatch | ReturnGrant | Cancel | Detach | Resume


@frozen
class RouterCommands:
    """A batch of messages from a router to one incarnation of a sidecar."""

    sender: Sender
    to_incarnation: str
    messages: list[RouterMessage]


# Sidecar to router.


@frozen
class SidecarHello:
    """The first message of a session."""

    sender: Sender
    endpoint_id: str
    service_id: str
    failure_domain: str


@frozen
class Grant:
    """Capacity for one request of this router, intended for the given account.

    Another account may use it if its virtual counter is at most `limit`, the lowest
    bid of all other routers. There is no limit if no other router has queued requests.
    """

    grant_id: str
    account_id: str
    limit: float | None = None


@frozen
class SpareCredits:
    """Number of requests a router may send without a grant; replaces earlier values."""

    count: int


@frozen
class Refused:
    """A dispatch or resumption that the sidecar has refused."""

    request_id: str
    verdict: Verdict
    reason: str
    grant_id: str = ""


@frozen
class Outcome:
    """How a request ended; `digest` is the SHA-256 digest of the answer."""

    verdict: Verdict
    complete: bool
    reason: str = ""
    digest: str = ""


@frozen
class Chunk:
    """Server-sent events of one answer, formatted for the caller.

    `first` and `last` are the numbers of the first and last event. `cost` is the
    service measured since the start of the request, and `base_cost` the part of it that
    was already reported to earlier routers.
    """

    request_id: str
    first: int
    last: int
    cost: float
    sse: str
    outcome: Outcome | None = None
    base_cost: float = 0.0


@frozen
class Chunks:
    """Chunks of several answers in one message."""

    chunks: list[Chunk]


@frozen
class Draining:
    """The sidecar accepts no new requests from now on."""


SidecarMessage = SidecarHello | Grant | SpareCredits | Refused | Chunks | Draining


@frozen
class SidecarBatch:
    """One line of a session; a batch without messages is a keep-alive."""

    stamp: Stamp
    messages: list[SidecarMessage]


@frozen
class RunStatusQuery:
    """Queries the status of an account's request at a sidecar."""

    request_id: str
    account_id: str


@frozen
class RunStatus:
    """The status of a request at an endpoint."""

    found: bool
    endpoint_id: str
    events: int = 0
    outcome: Outcome | None = None


# Routers and sidecars to control.


@frozen
class AccountService:
    """Cumulative weighted service of an account by one router incarnation."""

    service_id: str
    account_id: str
    served: float
    backlogged: bool


@frozen
class ServiceBacklog:
    """Number of requests for a service queued at a router."""

    service_id: str
    waiting: int


@frozen
class AccountLift:
    """The weighted service added to an account when it became active after idling."""

    service_id: str
    account_id: str
    lift: float


@frozen
class RouterHeartbeat:
    """A router's lease renewal, with the counters that have changed.

    `known_set` is the version of the endpoint set that the router has. `full` is set if
    all counters are included, which the first heartbeat to an incarnation of control
    requires. Only then `lifts` has all lifts that the router knows, because control may
    have lost them.
    """

    sender: Sender
    address: str
    failure_domain: str
    revision: int
    accounts: list[AccountService]
    backlogs: list[ServiceBacklog]
    known_set: str = ""
    full: bool = False
    draining: bool = False
    lifts: list[AccountLift] = field(factory=list)


@frozen
class AccountTotal:
    """Weighted service of an account by all other routers, and its lift."""

    service_id: str
    account_id: str
    others: float
    lift: float


@frozen
class ServiceFloor:
    """The minimum weighted service among the backlogged accounts of a service."""

    service_id: str
    floor: float


@frozen
class EndpointEntry:
    """An endpoint and the address of its sidecar."""

    endpoint_id: str
    service_id: str
    address: str
    failure_domain: str


@frozen
class EndpointSet:
    """The endpoints assigned to a router."""

    version: str
    endpoints: list[EndpointEntry]


@frozen
class RouterHeartbeatReply:
    """The reply of control to a router.

    `need_full` requires the next heartbeat to include all counters. `expired` requires
    the router to start a new incarnation. The counters of the old one are closed with
    the values in `closed`.
    """

    sender: Sender
    revision: int
    floors: list[ServiceFloor]
    totals: list[AccountTotal]
    endpoint_set: EndpointSet | None = None
    need_full: bool = False
    expired: bool = False
    closed: list[AccountService] = field(factory=list)


@frozen
class SidecarHeartbeat:
    """A sidecar's lease renewal, with its endpoint and load.

    `limit` is the number of requests that may run concurrently. `bids_seen` is whether
    any bid of a router is unserved.
    """

    sender: Sender
    entry: EndpointEntry
    revision: int
    limit: int
    running: int
    bids_seen: bool
    draining: bool = False


@frozen
class SidecarHeartbeatReply:
    """The reply of control to a sidecar."""

    sender: Sender
    revision: int
    lease_seconds: float


@frozen
class WatchRequest:
    """Waits for a revision newer than `revision`."""

    sender: Sender
    revision: int
    wait_seconds: float


@frozen
class WatchReply:
    """The revision in force and its declarations as a JSON document."""

    revision: int
    document: str


@frozen
class ClaimOpen:
    """Claims an idempotency key before the first dispatch."""

    sender: Sender
    account_id: str
    service_id: str
    key: str
    body_digest: str
    request_id: str


@frozen
class ClaimAnswer:
    """The state of an idempotency key.

    `granted` is true for exactly one caller. For others, the remaining fields give the
    status of the first attempt. `outcome_sse` is the stored answer.
    """

    granted: bool
    request_id: str
    attempt_id: str = ""
    state: str = ""
    verdict: Verdict = Verdict.NOT_RUN
    outcome_sse: str = ""
    detail: str = ""


@frozen
class ClaimClose:
    """Reports how a claimed attempt ended; `NOT_RUN` releases the key."""

    sender: Sender
    attempt_id: str
    verdict: Verdict
    outcome_sse: str = ""


@frozen
class ClaimClosed:
    """The reply to a ClaimClose: whether the outcome is stored."""

    stored: bool
