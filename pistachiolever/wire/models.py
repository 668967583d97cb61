"""Messages between routers, sidecars and control."""

from attrs import field, frozen

from pistachiolever.const import PROTOCOL_VERSION
from pistachiolever.core.clock import Stamp
from pistachiolever.core.verdict import Verdict


@frozen
class Sender:
    """Who sends, in which incarnation, at what logical time."""

    process_id: str
    incarnation: str
    stamp: Stamp = Stamp()
    protocol_version: int = PROTOCOL_VERSION


# Router to sidecar.


@frozen
class Bid:
    """An account's wish for service at one endpoint.

    `virtual` is its weighted service so far, `step` what one more request would
    add to it, `count` how many requests wait, `unserved_seconds` how long none of
    them was sent.
    """

    account_id: str
    virtual: float
    step: float
    count: int
    unserved_seconds: float = 0.0


@frozen
class Bids:
    """The lowest bids of a router; replaces all that it bid before."""

    bids: list[Bid]


@frozen
class Dispatch:
    """One request to run now.

    `grant_id` is empty on a spare credit. `attempt_id` names the claimed attempt
    of a non-idempotent request and is empty for others.
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
    """A grant that the router cannot use."""

    grant_id: str


@frozen
class Cancel:
    """Stop a request; nobody wants its answer."""

    request_id: str


@frozen
class Detach:
    """Stop sending the events of a request to this router; keep them.

    Without a reader for `keep_seconds`, the request is cancelled.
    """

    request_id: str
    keep_seconds: float


@frozen
class Resume:
    """Send the events of a request after the given number to this router."""

    request_id: str
    account_id: str
    after: int


RouterMessage = Bids | Dispatch | ReturnGrant | Cancel | Detach | Resume


@frozen
class RouterCommands:
    """What a router sends to one incarnation of a sidecar in one call."""

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
    """Room for one request of this router; meant for the named account.

    Another account may use it if its counter is at most `limit`, the lowest bid of
    all other routers; without a limit nobody else waits.
    """

    grant_id: str
    account_id: str
    limit: float | None = None


@frozen
class SpareCredits:
    """How many requests the router may send without a grant; replaces the last."""

    count: int


@frozen
class Refused:
    """A dispatch or a resumption that the sidecar did not take."""

    request_id: str
    verdict: Verdict
    reason: str
    grant_id: str = ""


@frozen
class Outcome:
    """How a request ended, and what it cost by the service's rule."""

    verdict: Verdict
    complete: bool
    reason: str = ""
    digest: str = ""


@frozen
class Chunk:
    """Events of one answer, ready for the caller.

    `first` and `last` number the events inside; `cost` is the measured service
    since the start; `base_cost` what other routers were told of it.
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
    """The sidecar takes no new work from now on."""


SidecarMessage = SidecarHello | Grant | SpareCredits | Refused | Chunks | Draining


@frozen
class SidecarBatch:
    """One line of a session; without messages it only shows that both live."""

    stamp: Stamp
    messages: list[SidecarMessage]


@frozen
class RunStatusQuery:
    """Ask a sidecar how an account's request stands."""

    request_id: str
    account_id: str


@frozen
class RunStatus:
    """How a request stands at one endpoint."""

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
    """How many requests wait for a service at one router."""

    service_id: str
    waiting: int


@frozen
class AccountLift:
    """The weighted service added to an account when it came back from idleness."""

    service_id: str
    account_id: str
    lift: float


@frozen
class RouterHeartbeat:
    """A router's lease renewal with its counters that changed.

    `known_set` is the version of the endpoint set it holds; `full` says that all
    counters are inside, as the first heartbeat to a control incarnation must.
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
    """The least weighted service among the backlogged accounts of a service."""

    service_id: str
    floor: float


@frozen
class EndpointEntry:
    """Where an endpoint's sidecar listens."""

    endpoint_id: str
    service_id: str
    address: str
    failure_domain: str


@frozen
class EndpointSet:
    """The endpoints that one router works with."""

    version: str
    endpoints: list[EndpointEntry]


@frozen
class RouterHeartbeatReply:
    """What control tells a router.

    `expired` asks the router to start a new incarnation: its old counters are
    closed with the values in `closed`.
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
    """A sidecar's lease renewal: its endpoint and its load."""

    sender: Sender
    entry: EndpointEntry
    revision: int
    limit: int
    running: int
    bids_seen: bool
    draining: bool = False


@frozen
class SidecarHeartbeatReply:
    """What control tells a sidecar."""

    sender: Sender
    revision: int
    lease_seconds: float


@frozen
class WatchRequest:
    """Wait for a revision greater than the one held."""

    sender: Sender
    revision: int
    wait_seconds: float


@frozen
class WatchReply:
    """The revision in force and its declarations, as a JSON document."""

    revision: int
    document: str


@frozen
class ClaimOpen:
    """Claim an idempotency key before the first dispatch."""

    sender: Sender
    account_id: str
    service_id: str
    key: str
    body_digest: str
    request_id: str


@frozen
class ClaimAnswer:
    """What the ledger says of a key.

    `granted` is true for exactly one caller; otherwise the other fields tell how
    the first attempt stands. `outcome_sse` is the stored answer.
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
    """Report how a claimed attempt ended; `NOT_RUN` frees the key."""

    sender: Sender
    attempt_id: str
    verdict: Verdict
    outcome_sse: str = ""


@frozen
class ClaimClosed:
    """The outcome is stored."""

    stored: bool
