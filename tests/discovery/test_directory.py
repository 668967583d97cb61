"""Announcements merge to the same in any order, and old lives stay dead."""

from itertools import permutations

from attrs import evolve

from pistachiolever.discovery.const import FORGET_SECONDS, UNKNOWN_TOMBSTONE_SECONDS
from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.models import Announcement, EndpointState
from tests.support.cases import CaseTest

READY, DRAINING, GONE = (
    EndpointState.READY,
    EndpointState.DRAINING,
    EndpointState.GONE,
)
ONE = Announcement("e1", 100, 1, READY, "s", "10.0.0.1:80", "north", 8)


def states(directory: EndpointDirectory) -> dict[str, EndpointState]:
    """Return the state of each endpoint that is known."""
    return {
        endpoint_id: record.announcement.state
        for endpoint_id, record in directory.record_by_id.items()
    }


class MergeTest(CaseTest):
    """The newest of the newest life wins, whatever comes first."""

    def test_any_order_gives_the_same(self) -> None:
        news = [
            ONE,
            evolve(ONE, sequence=5, state=DRAINING),
            evolve(ONE, sequence=3),
            evolve(ONE, state=GONE, sequence=0),
            evolve(ONE, born_ms=200, sequence=1),
        ]
        for order in permutations(news):
            directory = EndpointDirectory()
            for announcement in order:
                directory.merge(announcement, 1.0)
            self.assertEqual(directory.active(), [news[-1]], order)

    def test_a_late_heartbeat_does_not_revive(self) -> None:
        directory = EndpointDirectory()
        directory.merge(evolve(ONE, sequence=4), 1.0)
        directory.mark_gone("e1", None, 2.0)
        self.assertFalse(directory.merge(evolve(ONE, sequence=9), 3.0))
        self.assertEqual(states(directory), {"e1": GONE})
        self.assertTrue(directory.merge(evolve(ONE, born_ms=300, sequence=1), 3.0))

    def test_an_end_of_unknown_birth_holds_for_a_while(self) -> None:
        directory = EndpointDirectory()
        directory.mark_gone("e1", None, 1.0)
        self.assertFalse(directory.merge(ONE, 1.5))
        self.assertTrue(directory.merge(ONE, 1.5 + UNKNOWN_TOMBSTONE_SECONDS))

    def test_an_address_belongs_to_the_youngest(self) -> None:
        other = evolve(ONE, endpoint_id="e2", born_ms=200, service_id="t")
        for order in ([ONE, other], [other, ONE]):
            directory = EndpointDirectory()
            for announcement in order:
                directory.merge(announcement, 1.0)
            self.assertEqual([a.endpoint_id for a in directory.active()], ["e2"])

    def test_only_what_matters_gets_a_number(self) -> None:
        directory = EndpointDirectory()
        directory.merge(ONE, 1.0)
        number = directory.change_number
        self.assertFalse(directory.merge(evolve(ONE, sequence=2), 2.0))
        self.assertEqual(directory.changed_since(number), [])
        draining = evolve(ONE, sequence=3, state=DRAINING)
        directory.merge(draining, 3.0)
        self.assertEqual(directory.changed_since(number), [draining])

    def test_silence_ends_it(self) -> None:
        directory = EndpointDirectory()
        directory.merge(ONE, 1.0)
        self.assertEqual(directory.expire(1.0 + FORGET_SECONDS), [])
        self.assertEqual(directory.expire(1.5 + FORGET_SECONDS), ["e1"])
