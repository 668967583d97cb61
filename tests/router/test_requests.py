"""Malformed requests are rejected with the name of the invalid field."""

from typing import Any
from unittest import TestCase

from hypothesis import given, strategies as st
from nose2.tools import params
from orjson import dumps

from pistachiolever.cli.standalone import demo_declarations
from pistachiolever.declarations.models import Revision
from pistachiolever.router.requests import InvalidRequestError, parse_submission
from pistachiolever.router.resume import ResumePoint, parse_event_id
from tests.support.profile import MANY

REVISION = Revision.of(1, demo_declarations())
ACCOUNT = REVISION.account_by_id["haldia-exporters"]

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)
ALMOST_VALID = st.dictionaries(
    st.sampled_from(["service", "input", "max_output_tokens", "stream", "other"]),
    JSON_VALUES | st.sampled_from(["planning", "booking"]),
    max_size=5,
)
BODIES = st.binary(max_size=200) | st.builds(
    lambda value: dumps(value, default=str), ALMOST_VALID
)


class RequestTest(TestCase):
    """Validation of request bodies, idempotency keys and event ids."""

    # Queued requests in scripts with several bytes a character took more memory than
    # the limits of the queue allow.
    @params("a", "\u0939", "\U0001f600")
    def test_size_of_the_input_is_in_bytes(self, character: str) -> None:
        body = {"service": "planning", "input": character * 10, "max_output_tokens": 1}
        submission = parse_submission(dumps(body), ACCOUNT, REVISION, "")
        self.assertEqual(submission.size_bytes, 10 * len(character.encode()))

    @MANY
    @given(body=BODIES, key=st.text(max_size=140))
    def test_ten_thousand_malformed_bodies(self, body: bytes, key: str) -> None:
        try:
            submission = parse_submission(body, ACCOUNT, REVISION, key)
        except InvalidRequestError as error:
            self.assertIn(error.status, (400, 403))
            self.assertEqual(error.refusal.verdict.value, "NOT_RUN")
            self.assertIn(": ", error.refusal.detail)
            return
        self.assertIn(submission.service.id, ACCOUNT.service_ids)
        self.assertTrue(submission.input)
        self.assertGreaterEqual(submission.max_output_tokens, 1)

    @params(
        ("not json", b"{", "body"),
        ("no object", b"[]", "body"),
        ("unknown field", b'{"svc":1}', "svc"),
        ("no service", b'{"input":"x"}', "service"),
        ("no input", b'{"service":"planning"}', "input"),
        ("empty input", b'{"service":"planning","input":""}', "input"),
        (
            "too many tokens",
            b'{"service":"planning","input":"x","max_output_tokens":99999}',
            "max_output_tokens",
        ),
        (
            "wrong stream",
            b'{"service":"planning","input":"x","stream":1}',
            "stream",
        ),
        ("no key", b'{"service":"booking","input":"x"}', "Idempotency-Key"),
    )
    def test_error_names_the_field(self, name: str, body: bytes, field: str) -> None:
        with self.assertRaises(InvalidRequestError) as caught:
            parse_submission(body, ACCOUNT, REVISION, "")
        self.assertTrue(caught.exception.refusal.detail.startswith(field), name)

    @params(
        ("", ResumePoint(0, "")),
        ("7", ResumePoint(7, "")),
        ("7@engine-1", ResumePoint(7, "engine-1")),
        ("x", None),
        ("7@", None),
        ("99999999", None),
        ("7@../etc", None),
    )
    def test_event_ids(self, text: str, expected: Any) -> None:
        self.assertEqual(parse_event_id(text), expected)
