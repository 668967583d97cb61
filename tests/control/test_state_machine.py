"""Claims and revisions of the replicated state against a simple model."""

from unittest import TestCase

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from nose2.tools import params

from pistachiolever.control.commands import (
    ApplyDeclarations,
    ChangeResult,
    CloseClaim,
    OpenClaim,
    decode_command,
    encode_command,
    limit_outcome,
)
from pistachiolever.control.const import MAX_OUTCOME_BYTES
from pistachiolever.control.state import ControlState
from pistachiolever.core.verdict import Verdict
from pistachiolever.wire.models import ClaimAnswer
from tests.support.profile import CHEAP_STATEFUL

KEYS = ["k1", "k2", "k3"]
ATTEMPTS = [f"attempt-{number}" for number in range(12)]


class ClaimMachine(RuleBasedStateMachine):
    """Commands arrive in any order, duplicated and late; a restart loads a dump."""

    def __init__(self) -> None:
        """Start with an empty state and a model of the granted claims."""
        super().__init__()
        self.state = ControlState(3600.0)
        self.holder_by_key: dict[str, str] = {}
        self.released: set[str] = set()
        self.key_by_attempt: dict[str, str] = {}
        self.outcome_by_key: dict[str, str] = {}

    @rule(key=st.sampled_from(KEYS), attempt=st.sampled_from(ATTEMPTS))
    def open(self, key: str, attempt: str) -> None:
        """Open a claim; the model tells whether it may be granted."""
        if self.key_by_attempt.setdefault(attempt, key) != key:
            return
        answer = self.state.apply(OpenClaim("acc", "svc", key, "digest", attempt, 1))
        assert isinstance(answer, ClaimAnswer)
        if attempt in self.released:
            assert not answer.granted
            return
        holder = self.holder_by_key.setdefault(key, attempt)
        assert answer.granted == (holder == attempt)
        if not answer.granted and key in self.outcome_by_key:
            assert answer.outcome_sse == self.outcome_by_key[key]

    @rule(attempt=st.sampled_from(ATTEMPTS))
    def free(self, attempt: str) -> None:
        """Close an attempt as not run; a stored outcome is kept."""
        self.state.apply(CloseClaim(attempt, Verdict.NOT_RUN, "", 1))
        key = self.key_by_attempt.get(attempt, "")
        if self.holder_by_key.get(key) == attempt:
            if key in self.outcome_by_key:
                return
            del self.holder_by_key[key]
        self.released.add(attempt)

    @rule(attempt=st.sampled_from(ATTEMPTS))
    def finish(self, attempt: str) -> None:
        """Close an attempt with an outcome; the first stored outcome is kept.

        Only a granted attempt is sent to an endpoint, so only it can have an outcome.
        """
        key = self.key_by_attempt.get(attempt, "")
        if key and self.holder_by_key.get(key) != attempt:
            return
        self.state.apply(CloseClaim(attempt, Verdict.RAN, f"done {attempt}", 1))
        if self.holder_by_key.get(key) == attempt:
            self.outcome_by_key.setdefault(key, f"done {attempt}")
        elif attempt not in self.released and attempt not in self.key_by_attempt:
            self.released.add(attempt)

    @rule()
    def restart(self) -> None:
        """Dump and load the state, as a snapshot does."""
        other = ControlState(3600.0)
        other.load(self.state.dump())
        self.state = other


ClaimMachine.TestCase.settings = CHEAP_STATEFUL
ClaimMachineTest = ClaimMachine.TestCase


class OutcomeTest(TestCase):
    """Answers that are stored for their idempotency keys."""

    # Characters of several bytes counted as one in the limit.
    @params(("a", 1), ("\u0939", 3), ("\U0001f600", 4))
    def test_limit_is_in_bytes(self, character: str, size: int) -> None:
        fits = character * (MAX_OUTCOME_BYTES // size)
        self.assertEqual(limit_outcome(fits), fits)
        self.assertEqual(limit_outcome(fits + character), "")


class RevisionTest(TestCase):
    """Concurrent, repeated and successive changes of the declarations."""

    def test_repeated_change_gets_its_first_result(self) -> None:
        state = ControlState(3600.0)
        first_result = state.apply(ApplyDeclarations("c1", 0, "{}", 1))
        state.apply(ApplyDeclarations("c2", 1, "{}", 2))
        repeated_result = state.apply(ApplyDeclarations("c1", 0, "{}", 3))
        self.assertEqual(first_result, repeated_result)
        self.assertEqual(state.revisions[-1].number, 2)

    def test_conflict_reports_the_accepted_change(self) -> None:
        state = ControlState(3600.0)
        first = state.apply(ApplyDeclarations("mine", 0, '{"a":1}', 1))
        second = state.apply(ApplyDeclarations("yours", 0, '{"b":1}', 1))
        assert isinstance(first, ChangeResult) and isinstance(second, ChangeResult)
        self.assertTrue(first.accepted)
        self.assertFalse(second.accepted)
        self.assertEqual(second.winner_change_id, "mine")
        self.assertEqual(second.winner_document, '{"a":1}')

    def test_five_hundred_changes_increment_the_revision(self) -> None:
        state = ControlState(3600.0)
        for number in range(500):
            change = ApplyDeclarations(f"c{number}", number, "{}", number)
            result = state.apply(decode_command(encode_command(change)))
            self.assertEqual(result, ChangeResult(True, number + 1))
        self.assertEqual(state.revisions[-1].number, 500)

    def test_claims_expire_after_the_window(self) -> None:
        state = ControlState(60.0)
        state.apply(OpenClaim("a", "s", "k", "d", "one", 0))
        state.apply(OpenClaim("a", "s", "other", "d", "two", 61_000))
        self.assertEqual(list(state.key_by_attempt), ["two"])
