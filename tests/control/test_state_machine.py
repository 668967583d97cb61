"""Claims and revisions against a simple oracle."""

from unittest import TestCase

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from pistachiolever.control.commands import (
    ApplyDeclarations,
    ChangeResult,
    CloseClaim,
    OpenClaim,
    decode_command,
    encode_command,
)
from pistachiolever.control.state import ControlState
from pistachiolever.core.verdict import Verdict
from pistachiolever.wire.models import ClaimAnswer
from tests.support.profile import CHEAP_STATEFUL

KEYS = ["k1", "k2", "k3"]
ATTEMPTS = [f"attempt-{number}" for number in range(12)]


class ClaimMachine(RuleBasedStateMachine):
    """Commands come in any order, doubled and late; a restart goes by a dump."""

    def __init__(self) -> None:
        """Start with an empty state and an oracle of who may run."""
        super().__init__()
        self.state = ControlState(3600.0)
        self.holder_by_key: dict[str, str] = {}
        self.freed: set[str] = set()
        self.key_by_attempt: dict[str, str] = {}
        self.outcome_by_key: dict[str, str] = {}

    @rule(key=st.sampled_from(KEYS), attempt=st.sampled_from(ATTEMPTS))
    def open(self, key: str, attempt: str) -> None:
        """Open a claim; the oracle knows whether it may be granted."""
        if self.key_by_attempt.setdefault(attempt, key) != key:
            return
        answer = self.state.apply(OpenClaim("acc", "svc", key, "digest", attempt, 1))
        assert isinstance(answer, ClaimAnswer)
        if attempt in self.freed:
            assert not answer.granted
            return
        holder = self.holder_by_key.setdefault(key, attempt)
        assert answer.granted == (holder == attempt)
        if not answer.granted and key in self.outcome_by_key:
            assert answer.outcome_sse == self.outcome_by_key[key]

    @rule(attempt=st.sampled_from(ATTEMPTS))
    def free(self, attempt: str) -> None:
        """Report that an attempt was not run; a stored outcome stays."""
        self.state.apply(CloseClaim(attempt, Verdict.NOT_RUN, "", 1))
        key = self.key_by_attempt.get(attempt, "")
        if self.holder_by_key.get(key) == attempt:
            if key in self.outcome_by_key:
                return
            del self.holder_by_key[key]
        self.freed.add(attempt)

    @rule(attempt=st.sampled_from(ATTEMPTS))
    def finish(self, attempt: str) -> None:
        """Report an outcome; the first one that ran stays.

        Only a granted attempt is sent to an endpoint, so only it can have one.
        """
        key = self.key_by_attempt.get(attempt, "")
        if key and self.holder_by_key.get(key) != attempt:
            return
        self.state.apply(CloseClaim(attempt, Verdict.RAN, f"done {attempt}", 1))
        if self.holder_by_key.get(key) == attempt:
            self.outcome_by_key.setdefault(key, f"done {attempt}")
        elif attempt not in self.freed and attempt not in self.key_by_attempt:
            self.freed.add(attempt)

    @rule()
    def restart(self) -> None:
        """Go through a dump, as a snapshot does."""
        other = ControlState(3600.0)
        other.load(self.state.dump())
        self.state = other


ClaimMachine.TestCase.settings = CHEAP_STATEFUL
ClaimMachineTest = ClaimMachine.TestCase


class RevisionTest(TestCase):
    """Changes race, come again and never take a revision back."""

    def test_resend_gets_the_first_answer(self) -> None:
        state = ControlState(3600.0)
        first = state.apply(ApplyDeclarations("c1", 0, "{}", 1))
        state.apply(ApplyDeclarations("c2", 1, "{}", 2))
        again = state.apply(ApplyDeclarations("c1", 0, "{}", 3))
        self.assertEqual(first, again)
        self.assertEqual(state.revisions[-1].number, 2)

    def test_race_has_one_winner_and_the_loser_sees_it(self) -> None:
        state = ControlState(3600.0)
        won = state.apply(ApplyDeclarations("mine", 0, '{"a":1}', 1))
        lost = state.apply(ApplyDeclarations("yours", 0, '{"b":1}', 1))
        assert isinstance(won, ChangeResult) and isinstance(lost, ChangeResult)
        self.assertTrue(won.accepted)
        self.assertFalse(lost.accepted)
        self.assertEqual(lost.winner_change_id, "mine")
        self.assertEqual(lost.winner_document, '{"a":1}')

    def test_five_hundred_changes_only_grow(self) -> None:
        state = ControlState(3600.0)
        for number in range(500):
            change = ApplyDeclarations(f"c{number}", number, "{}", number)
            result = state.apply(decode_command(encode_command(change)))
            self.assertEqual(result, ChangeResult(True, number + 1))
        self.assertEqual(state.revisions[-1].number, 500)

    def test_old_claims_are_forgotten_after_the_window(self) -> None:
        state = ControlState(60.0)
        state.apply(OpenClaim("a", "s", "k", "d", "one", 0))
        state.apply(OpenClaim("a", "s", "other", "d", "two", 61_000))
        self.assertEqual(list(state.key_by_attempt), ["two"])
