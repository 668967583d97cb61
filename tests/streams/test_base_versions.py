"""At which versions streams may begin without a record."""

from attrs import field, frozen
from nose2.tools import params

from pistachiolever.streams.base_versions import BaseVersions
from pistachiolever.streams.const import (
    BASE_REFRESH_SECONDS,
    CONFIRM_WAIT_SECONDS,
    NO_BASE_REFRESH_SECONDS,
)
from pistachiolever.streams.models import StreamReply
from tests.support.cases import CaseTest

BOTH = {"s": {"v1", "v2"}}


def told(base: str, *saved: str) -> StreamReply:
    """Return the reply of a member that has versions on disk."""
    bases = {"s": base} if base else {}
    return StreamReply(saved={"s": list(saved)}, bases=bases)


EARLIER = StreamReply(versions={"s": ["v1", "v2"]})
ONE, TWO, NONE = told("v1", "v1", "v2"), told("v2", "v2"), told("", "v1", "v2")
LACKING = told("", "v2")


@frozen
class Case:
    """What members reply, and the versions whose streams are recorded then."""

    name: str
    replies: list[StreamReply]
    recorded: set[str]
    member_count: int = 3
    is_settled: bool = True
    present: dict[str, set[str]] = field(factory=lambda: BOTH)


CASES = [
    Case("all agree", [ONE, ONE, ONE], {"v2"}),
    Case("most agree", [ONE, TWO, ONE], {"v2"}),
    Case("one is silent", [ONE, ONE], {"v2"}),
    Case("they disagree", [ONE, TWO, NONE], {"v1", "v2"}),
    Case("most lack a version", [LACKING, NONE, LACKING], BOTH["s"], is_settled=False),
    Case("there is none", [NONE, NONE, ONE], {"v1", "v2"}),
    Case("most are silent", [ONE], {"v1", "v2"}, is_settled=False),
    Case("most of five are silent", [ONE, ONE], {"v1", "v2"}, 5, False),
    Case("two of three are of an earlier build", 2 * [EARLIER], set(), 3, False),
    Case("one is of an earlier build", [EARLIER, ONE, ONE], {"v2"}),
    Case("there is no member", [], set(), 0, False),
    Case(
        "most are silent, and one version was first",
        [ONE],
        {"v2"},
        is_settled=False,
        present={"s": {"v1"}},
    ),
]


class BaseVersionsTest(CaseTest):
    """Streams are recorded unless a majority of the members names their version."""

    @params(*CASES)
    def test_table(self, case: Case) -> None:
        bases = BaseVersions()
        self.assertEqual(bases.update(case.present, 1.0), ["s"])
        bases.update(BOTH, 1.1)
        bases.apply_replies("s", case.replies, case.member_count)
        recorded = {v for v in ("v1", "v2") if bases.needs_record("s", v)}
        self.assertEqual(recorded, case.recorded)
        self.assertEqual(bases.is_unsettled("s"), not case.is_settled)

    # ORDER: members may have made another version the base while it was away.
    def test_base_that_comes_back_is_asked_about_again(self) -> None:
        bases = BaseVersions()
        bases.update(BOTH, 1.0)
        bases.apply_replies("s", [ONE] * 3, 3)
        self.assertEqual(bases.update({"s": {"v2"}}, 2.0), [])
        self.assertEqual(bases.update({}, 3.0), [])
        self.assertEqual(bases.update({"s": {"v2"}}, 4.0), [])
        self.assertFalse(bases.needs_record("s", "v1"))
        self.assertEqual(bases.update(BOTH, 5.0), ["s"])
        self.assertTrue(bases.needs_record("s", "v1"))
        bases.apply_replies("s", [TWO] * 3, 3)
        self.assertTrue(bases.needs_record("s", "v1"))
        self.assertFalse(bases.needs_record("s", "v2"))

    # All streams of the service would have been recorded for ever.
    @params((ONE, BASE_REFRESH_SECONDS), (NONE, NO_BASE_REFRESH_SECONDS))
    def test_members_are_asked_again(self, reply: StreamReply, seconds: float) -> None:
        bases = BaseVersions()
        bases.update({"s": {"v2"}}, 1.0)
        bases.apply_replies("s", [reply] * 3, 3)
        self.assertEqual(bases.refresh(0.9 + seconds), [])
        self.assertEqual(bases.refresh(1.1 + seconds), ["s"])
        self.assertEqual(bases.refresh(1.1 + seconds), [])
        self.assertTrue(bases.is_unsettled("s"))

    def test_streams_wait_a_while_for_the_first_replies(self) -> None:
        bases = BaseVersions(is_asking=True)
        self.assertFalse(bases.may_settle_soon("s", 1.0))
        bases.update({"s": {"v1"}}, 1.0)
        self.assertTrue(bases.may_settle_soon("s", 1.1))
        self.assertFalse(bases.may_settle_soon("s", 1.1 + CONFIRM_WAIT_SECONDS))
        bases.apply_replies("s", [ONE] * 3, 3)
        self.assertFalse(bases.may_settle_soon("s", 1.1))
