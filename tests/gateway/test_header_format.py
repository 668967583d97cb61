"""Headers that are forwarded, dropped, set, parsed or rejected."""

from attrs import evolve
from hypothesis import given, strategies as st
from nose2.tools import params

from pistachiolever.admission.models import Load, PromptPart
from pistachiolever.gateway.header_format import HeaderFormat, keep_alive_seconds
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.http1.errors import BadRequestError
from pistachiolever.http1.models import Header, RequestHead, ResponseHead
from pistachiolever.routing.models import (
    ProxyRoute,
    ProxyService,
    RequestKind,
    WeightedService,
)
from tests.support.cases import CaseTest
from tests.support.profile import STATEFUL

HEADER_FORMAT = HeaderFormat(internal_request_headers=frozenset({b"x-hold"}))
LOAD_AT_250 = Load(running=3, waiting=1, slots=8, slowdown=2.5, tells_slowdown=True)
ROUTE = ProxyRoute(
    "r", "x", "/", RequestKind.IDEMPOTENT, [WeightedService("s", 1)], 2.0, 0.3
)


def request(headers: list[Header], body: bytes = b"") -> ProxyRequest:
    """Return a request of an account."""
    head = RequestHead(b"POST", b"/a?b=c", headers)
    metadata = RequestMetadata("id")
    return ProxyRequest(
        metadata, head, body, ROUTE, ProxyService("s"), "account", 0, 0.0, 0.3, 2.0
    )


class ForwardedHeadersTest(CaseTest):
    """Headers of forwarded requests and responses."""

    def test_request_head(self) -> None:
        headers = [
            (b"host", b"x"),
            (b"x-request-id", b"id"),
            (b"authorization", b"Bearer secret"),
            (b"x-account", b"forged"),
            (b"x-hold", b"forged"),
            (b"x-expect-instance", b"forged"),
            (b"x-deadline-ms", b"99999"),
            (b"connection", b"keep-alive, x-private, x-request-id"),
            (b"x-private", b"1"),
            (b"transfer-encoding", b"chunked"),
            (b"accept", b"*/*"),
        ]
        head = HEADER_FORMAT.endpoint_request_head(
            request(headers, b"body"), "e1", 1.5, 7
        )
        self.assertEqual((head.method, head.target), (b"POST", b"/a?b=c"))
        self.assertEqual(
            head.headers,
            [
                (b"host", b"x"),
                (b"x-request-id", b"id"),
                (b"accept", b"*/*"),
                (b"x-deadline-ms", b"1500"),
                (b"x-expect-instance", b"e1"),
                (b"x-account", b"account"),
                (b"last-event-id", b"7"),
                (b"content-length", b"4"),
            ],
        )

    def test_response_headers(self) -> None:
        head = ResponseHead(
            200,
            [
                (b"x-signature", b"s"),
                (b"x-request-id", b"id"),
                (b"x-load", b"3,0,8"),
                (b"keep-alive", b"timeout=5"),
                (b"content-length", b"10"),
                (b"content-type", b"text/plain"),
            ],
        )
        metadata = HEADER_FORMAT.parse_response(head)
        self.assertTrue(metadata.signed)
        self.assertEqual(metadata.keep_alive_seconds, 4.5)
        self.assertEqual(
            HEADER_FORMAT.response_headers(head, whole=True),
            [
                (b"x-signature", b"s"),
                (b"x-request-id", b"id"),
                (b"content-type", b"text/plain"),
            ],
        )
        closing = ResponseHead(200, [(b"connection", b"Close")])
        self.assertEqual(keep_alive_seconds(closing), 0.0)

    # A header with a fourth number was dropped as a whole, so that the counts of all
    # endpoints that report their slowdown were unknown.
    @params(
        (b"3,1,8", Load(running=3, waiting=1, slots=8)),
        (b"3, 1, 8, 250", LOAD_AT_250),
        (b"3,1,8,100", evolve(LOAD_AT_250, slowdown=1.0)),
        (b"3,1,8,", Load(running=3, waiting=1, slots=8)),
        (b"3,1,8,0", Load(running=3, waiting=1, slots=8)),
        (b"3,1,8,-5", Load(running=3, waiting=1, slots=8)),
        (b"3,1,8,2.5", Load(running=3, waiting=1, slots=8)),
        (b"3,x,8,250", None),
        (b"3,1", None),
        (b"3,1,8,250,1", None),
        (None, None),
    )
    def test_load(self, value: bytes | None, load: Load | None) -> None:
        headers = [] if value is None else [(b"x-load", value)]
        metadata = HEADER_FORMAT.parse_response(ResponseHead(200, headers))
        self.assertEqual(metadata.load, load)


class ParseRequestTest(CaseTest):
    """Callers' headers are parsed, or rejected with status 400."""

    # The traffic split and the record of a stream go by the request that began it.
    def test_stream_id(self) -> None:
        cases: list[tuple[list[Header], str]] = [
            ([], "b"),
            ([(b"x-resumes", b"a"), (b"last-event-id", b"4")], "a"),
            ([(b"x-resumes", b"a")], "b"),
            ([(b"x-resumes", b"a"), (b"last-event-id", b"0")], "b"),
            ([(b"last-event-id", b"4")], "b"),
        ]
        for headers, stream_id in cases:
            with self.subTest(headers):
                head = RequestHead(b"GET", b"/", [(b"x-request-id", b"b"), *headers])
                metadata = HEADER_FORMAT.parse_request(head)
                self.assertEqual(metadata.stream_id, stream_id)

    def test_request_metadata(self) -> None:
        head = RequestHead(
            b"POST",
            b"/",
            [
                (b"x-request-id", b"id"),
                (b"x-deadline-ms", b"12000"),
                (b"authorization", b"bearer KEY"),
                (b"x-token-counts", b"1460,80"),
                (b"x-prompt-parts", b"5c1e:800, 91bd:410"),
                (b"last-event-id", b"12"),
            ],
        )
        metadata = HEADER_FORMAT.parse_request(head)
        self.assertEqual(
            metadata,
            RequestMetadata(
                "id",
                12.0,
                "KEY",
                "",
                1460,
                80,
                0,
                [PromptPart("5c1e", 800), PromptPart("91bd", 410)],
                12,
            ),
        )

    @STATEFUL
    @given(
        name=st.sampled_from(
            [
                b"x-deadline-ms",
                b"x-token-counts",
                b"x-prompt-parts",
                b"last-event-id",
                b"x-length-hint",
                b"x-load",
                b"keep-alive",
            ]
        ),
        value=st.binary(max_size=40),
    )
    def test_any_value_is_parsed_or_rejected(self, name: bytes, value: bytes) -> None:
        head = RequestHead(b"GET", b"/", [(name, value)])
        try:
            HEADER_FORMAT.parse_request(head)
        except BadRequestError as error:
            self.assertEqual(error.status, 400)
        HEADER_FORMAT.parse_response(ResponseHead(200, [(name, value)]))
