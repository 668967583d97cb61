"""Which members a process talks to, without network."""

from collections import Counter

from pistachiolever.registry.const import MAX_MEMBER_RETRY_SECONDS
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.models import MemberInfo
from tests.support.cases import CaseTest

MEMBERS = [
    MemberInfo(f"m{number}", domain)
    for number, domain in enumerate(["north", "north", "south", "south", "west"])
]


def make_choice(process_id: str = "r", domain: str = "north") -> MemberChoice:
    """Return the choice of a process that knows five members."""
    choice = MemberChoice(process_id, domain, lambda: ["m0", "seed"])
    choice.update_members(MEMBERS)
    return choice


class MemberChoiceTest(CaseTest):
    """Members of the own domain first, failed ones last."""

    def test_own_domain_comes_first(self) -> None:
        chosen = make_choice().choose(2, 1.0)
        self.assertEqual(set(chosen), {"m0", "m1"})

    def test_processes_spread_over_the_members(self) -> None:
        first = Counter(
            make_choice(f"r{number}", "east").choose(1, 1.0)[0] for number in range(500)
        )
        self.assertEqual(len(first), 5)
        self.assertLess(max(first.values()), 150)

    def test_failed_member_is_replaced_and_tried_again(self) -> None:
        choice = make_choice()
        first = choice.choose(1, 1.0)[0]
        self.assertTrue(choice.record_failure(first, 1.0))
        self.assertNotIn(first, choice.choose(2, 1.1))
        self.assertEqual(choice.choose(1, 1.0 + MAX_MEMBER_RETRY_SECONDS)[0], first)
        self.assertFalse(choice.record_failure(first, 9.0))
        self.assertTrue(choice.record_reply(first, False))

    # Its directory and its configuration may be out of date.
    def test_member_without_quorum_comes_after_the_others(self) -> None:
        choice = make_choice()
        for address in ("m0", "m1"):
            choice.record_reply(address, True)
        self.assertFalse({"m0", "m1"} & set(choice.choose(2, 1.0)))
        choice.record_reply("m0", False)
        self.assertEqual(choice.choose(1, 1.0), ["m0"])

    def test_seeds_are_used_while_no_member_responds(self) -> None:
        choice = make_choice()
        for member in MEMBERS:
            choice.record_failure(member.address, 1.0)
        self.assertEqual(choice.choose(1, 1.1), ["seed"])
        self.assertEqual(MemberChoice("r", "x", lambda: ["s"]).choose(2, 0.0), ["s"])

    def test_former_members_are_forgotten(self) -> None:
        choice = make_choice()
        choice.record_failure("m4", 1.0)
        choice.record_reply("m3", True)
        choice.update_members(MEMBERS[:3])
        self.assertEqual((choice.failures_by_address, choice.behind), ({}, set()))
