"""Requests in the gateway, and the metadata of requests and responses."""

from hashlib import blake2b

from attrs import define, field, frozen

from pistachiolever.admission.const import OUTPUT_TOKEN_WEIGHT
from pistachiolever.admission.models import Load, PromptPart
from pistachiolever.discovery.models import Announcement
from pistachiolever.gateway.const import CONTENT_DIGEST_BYTES
from pistachiolever.http1.models import RequestHead
from pistachiolever.quarantine.const import CONTENT_PREFIX
from pistachiolever.routing.models import ProxyRoute, ProxyService, RequestKind
from pistachiolever.spillover.models import Expectation
from pistachiolever.streams.models import StreamOrigin, stream_key


@frozen
class RequestMetadata:
    """Metadata in a caller's headers, in seconds and tokens; empty where absent.

    A caller that resumes a stream after `last_event_id` names in `resumes` its request
    that brought the first event.
    """

    request_id: str
    deadline_seconds: float | None = None
    key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    length_hint: int = 0
    parts: list[PromptPart] = field(factory=list)
    last_event_id: int = 0
    resumes: str = ""

    @property
    def stream_id(self) -> str:
        """Return the id of the request that brought the first event of the stream."""
        return self.resumes if self.last_event_id and self.resumes else self.request_id


@frozen
class ResponseMetadata:
    """Metadata in an endpoint's response headers.

    `signed` is true if the response carries a signature, `not_run` if it states that
    the endpoint did not run the request, `leaving` if the endpoint is leaving.
    `retry_after` is the unparsed value with which a busy endpoint asks for a pause.
    `load` are its running and waiting requests and its slots, `rate_limit` is the
    unparsed number of requests a second that it accepts from all routers together.
    """

    request_id: str
    signed: bool
    not_run: bool
    keep_alive_seconds: float
    leaving: bool = False
    retry_after: str | None = None
    load: Load | None = None
    rate_limit: str | None = None


@define(eq=False)
class ProxyRequest:
    """A caller's request; times are absolute seconds of the process's clock.

    `target_at` is when the first chunk is due, `deadline_at` when the response must be
    complete. `bid_id` is the id of the latest bid for the request. It does not contain
    the request id, which callers may use twice. `origin` is where the stream began,
    None before its first event. `is_continued` is true for the rest of a stream that is
    known to have begun. `expectation` is that of the latest bid.
    """

    metadata: RequestMetadata
    head: RequestHead
    body: bytes
    route: ProxyRoute
    service: ProxyService
    account_id: str
    priority: int
    arrived_at: float
    target_at: float
    deadline_at: float
    attempt_count: int = 0
    bid_count: int = 0
    bid_id: str = ""
    tried_endpoint_ids: set[str] = field(factory=set)
    may_have_run: bool = False
    origin: StreamOrigin | None = None
    is_continued: bool = False
    expectation: Expectation | None = None
    _content_id: str = ""

    @property
    def content_id(self) -> str:
        """Return what identifies the content of a request, under whatever request id.

        That is a digest of account, method, host, target and body. No prompt part can
        have the same id, as its id has no colon.
        """
        if not self._content_id:
            host = self.head.value(b"host") or b""
            account = self.account_id.encode()
            digest = blake2b(digest_size=CONTENT_DIGEST_BYTES)
            for value in (account, self.head.method, host, self.head.target, self.body):
                digest.update(b"%d:%s" % (len(value), value))
            self._content_id = CONTENT_PREFIX + digest.hexdigest()
        return self._content_id

    @property
    def is_resumed(self) -> bool:
        """Return whether it resumes a stream that broke off in an earlier response."""
        return self.route.kind is RequestKind.STREAM and bool(
            self.metadata.last_event_id
        )

    @property
    def begins_resumable_stream(self) -> bool:
        """Return whether it begins a stream that its caller may resume elsewhere."""
        return (
            self.route.kind is RequestKind.STREAM
            and self.route.resumable
            and self.origin is None
        )

    @property
    def stream_key(self) -> str:
        """Return the key under which its stream is known to all routers."""
        return stream_key(self.account_id, self.metadata.stream_id)

    @property
    def request_id(self) -> str:
        """Return the id of the request at engines and in logs."""
        return self.metadata.request_id

    @property
    def shared_part_ids(self) -> list[str]:
        """Return the ids of the prompt parts that other requests may share.

        The last part belongs to the request itself or to its session.
        """
        return [part.part_id for part in self.metadata.parts[:-1]]

    @property
    def suspect_ids(self) -> list[str]:
        """Return the ids of all that could make an endpoint crash.

        The content, of which a prompt's parts are common to more requests, is the last.
        """
        return [*self.shared_part_ids, self.content_id]

    @property
    def output_tokens(self) -> int:
        """Return the expected output in tokens.

        That is the caller's hint up to the maximum, or half of the maximum without a
        hint.
        """
        maximum = self.metadata.max_output_tokens
        if self.metadata.length_hint:
            return min(self.metadata.length_hint, maximum or self.metadata.length_hint)
        return maximum // 2

    @property
    def cost(self) -> float:
        """Return the weighted tokens that the account is charged."""
        prompt_tokens = self.metadata.prompt_tokens
        return prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens

    @property
    def version(self) -> str | None:
        """Return the only software version that may serve it, None if any one may."""
        return self.origin.version if self.origin else None

    def may_run_at(self, endpoint: Announcement) -> bool:
        """Return whether an endpoint has the version that the request needs."""
        return self.version in (None, endpoint.version)

    def remaining_seconds(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline_at - now
