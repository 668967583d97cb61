"""Merging of announcements does not depend on order; ended incarnations stay ended."""

from itertools import permutations
from random import Random
from time import process_time

from attrs import evolve

from pistachiolever.discovery.const import (
    ENDPOINT_EXPIRY_SECONDS,
    EXPIRY_KEPT_SECONDS,
    TOMBSTONE_SECONDS,
    UNKNOWN_TOMBSTONE_SECONDS,
    VERSION_KEPT_SECONDS,
)
from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.models import Announcement, EndpointState
from tests.support.cases import CaseTest

READY, DRAINING, GONE = (
    EndpointState.READY,
    EndpointState.DRAINING,
    EndpointState.GONE,
)
READY_ENDPOINT = Announcement("e1", 100, 1, READY, "s", "10.0.0.1:80", "north", 8)


def states(directory: EndpointDirectory) -> dict[str, EndpointState]:
    """Return the state of each known endpoint by id."""
    return {
        endpoint_id: record.announcement.state
        for endpoint_id, record in directory.record_by_id.items()
    }


class MergeTest(CaseTest):
    """The newest announcement of the newest incarnation wins in any order."""

    def test_result_does_not_depend_on_order(self) -> None:
        announcements = [
            READY_ENDPOINT,
            evolve(READY_ENDPOINT, sequence=5, state=DRAINING),
            evolve(READY_ENDPOINT, sequence=3),
            evolve(READY_ENDPOINT, state=GONE, sequence=0),
            evolve(READY_ENDPOINT, born_ms=200, sequence=1),
        ]
        for order in permutations(announcements):
            directory = EndpointDirectory()
            for announcement in order:
                directory.merge(announcement, 1.0)
            self.assertEqual(directory.active(), [announcements[-1]], order)

    def test_late_heartbeat_does_not_revive_an_ended_incarnation(self) -> None:
        directory = EndpointDirectory()
        directory.merge(evolve(READY_ENDPOINT, sequence=4), 1.0)
        directory.mark_gone("e1", None, 2.0)
        self.assertFalse(directory.merge(evolve(READY_ENDPOINT, sequence=9), 3.0))
        self.assertEqual(states(directory), {"e1": GONE})
        self.assertTrue(
            directory.merge(evolve(READY_ENDPOINT, born_ms=300, sequence=1), 3.0)
        )

    def test_tombstone_of_unknown_incarnation_blocks_for_a_limited_time(self) -> None:
        directory = EndpointDirectory()
        directory.mark_gone("e1", None, 1.0)
        self.assertFalse(directory.merge(READY_ENDPOINT, 1.5))
        self.assertTrue(
            directory.merge(READY_ENDPOINT, 1.5 + UNKNOWN_TOMBSTONE_SECONDS)
        )

    def test_address_belongs_to_the_newest_incarnation(self) -> None:
        other = evolve(READY_ENDPOINT, endpoint_id="e2", born_ms=200, service_id="t")
        for order in ([READY_ENDPOINT, other], [other, READY_ENDPOINT]):
            directory = EndpointDirectory()
            for announcement in order:
                directory.merge(announcement, 1.0)
            self.assertEqual([a.endpoint_id for a in directory.active()], ["e2"])

    # An announcement that a newer holder refuses must not end an older holder.
    def test_address_has_at_most_one_holder(self) -> None:
        rng = Random(4)
        directory = EndpointDirectory()
        for step in range(5000):
            announcement = evolve(
                READY_ENDPOINT,
                endpoint_id=f"e{rng.randrange(5)}",
                born_ms=rng.randrange(step // 50, step // 50 + 20),
                sequence=rng.randrange(50),
                address=f"10.0.0.{rng.randrange(3)}:80",
                state=rng.choice((READY, READY, DRAINING, GONE)),
            )
            directory.merge(announcement, step / 100)
            directory.expire(step / 100)
            addresses = [endpoint.address for endpoint in directory.active()]
            self.assertEqual(len(addresses), len(set(addresses)))

    def test_repeated_announcement_does_not_change_the_number(self) -> None:
        directory = EndpointDirectory()
        directory.merge(READY_ENDPOINT, 1.0)
        number = directory.change_number
        self.assertFalse(directory.merge(evolve(READY_ENDPOINT, sequence=2), 2.0))
        self.assertEqual(directory.changed_since(number), [])
        draining = evolve(READY_ENDPOINT, sequence=3, state=DRAINING)
        directory.merge(draining, 3.0)
        self.assertEqual(directory.changed_since(number), [draining])

    def test_endpoint_without_announcements_expires(self) -> None:
        directory = EndpointDirectory()
        directory.merge(READY_ENDPOINT, 1.0)
        self.assertEqual(directory.expire(1.0 + ENDPOINT_EXPIRY_SECONDS), [])
        self.assertEqual(directory.expire(1.5 + ENDPOINT_EXPIRY_SECONDS), ["e1"])

    # Watchers that had been told of an endpoint never heard that it had expired.
    def test_expiry_is_a_change(self) -> None:
        directory = EndpointDirectory()
        directory.merge(READY_ENDPOINT, 1.0)
        number = directory.change_number
        directory.expire(1.5 + ENDPOINT_EXPIRY_SECONDS)
        self.assertGreater(directory.change_number, number)
        self.assertEqual(directory.expired_since(number), [READY_ENDPOINT])
        self.assertEqual(directory.changed_since(number), [])
        self.assertEqual(directory.expired_since(directory.change_number), [])

    # The same incarnation may have been out of touch only.
    def test_expired_endpoint_that_announces_itself_again_is_new(self) -> None:
        directory = EndpointDirectory()
        directory.merge(READY_ENDPOINT, 1.0)
        directory.expire(1.5 + ENDPOINT_EXPIRY_SECONDS)
        number = directory.change_number
        again = evolve(READY_ENDPOINT, sequence=2)
        self.assertTrue(directory.merge(again, 2.0 + ENDPOINT_EXPIRY_SECONDS))
        self.assertEqual(directory.changed_since(number), [again])
        self.assertEqual(directory.expired_since(-1), [])

    def test_expiries_are_forgotten_after_a_while(self) -> None:
        directory = EndpointDirectory()
        directory.merge(READY_ENDPOINT, 1.0)
        expired_at = 1.5 + ENDPOINT_EXPIRY_SECONDS
        directory.expire(expired_at)
        directory.expire(expired_at + EXPIRY_KEPT_SECONDS)
        self.assertEqual(directory.expired_since(-1), [READY_ENDPOINT])
        directory.expire(expired_at + EXPIRY_KEPT_SECONDS + 1)
        self.assertEqual(directory.expired_since(-1), [])

    def test_end_of_an_incarnation_does_not_expire_twice(self) -> None:
        directory = EndpointDirectory()
        directory.merge(evolve(READY_ENDPOINT, state=GONE), 1.0)
        number = directory.change_number
        directory.expire(1.5 + TOMBSTONE_SECONDS)
        self.assertEqual(directory.record_by_id, {})
        self.assertEqual(directory.change_number, number)


class SizeTest(CaseTest):
    """The processor time of a merge does not depend on the number of endpoints."""

    # Each new endpoint was compared with all others.
    def test_time_of_a_merge(self) -> None:
        times = []
        for count in (300, 3000):
            directory = EndpointDirectory()
            started_at = process_time()
            for number in range(count):
                directory.merge(
                    Announcement(
                        f"e{number}",
                        1,
                        1,
                        EndpointState.READY,
                        "s",
                        f"10.0.{number}.1:80",
                        "north",
                    ),
                    1.0,
                )
            times.append((process_time() - started_at) / count)
        self.assertLess(times[1], 4 * times[0], times)


class VersionTest(CaseTest):
    """Versions that may have begun a stream are remembered after their endpoints."""

    NEWER = evolve(READY_ENDPOINT, version="v2", address="10.0.0.2:80")

    def test_table(self) -> None:
        old = evolve(READY_ENDPOINT, version="v1")
        cases: list[tuple[str, list[Announcement], set[str]]] = [
            ("one", [old], {"v1"}),
            ("side by side", [old, evolve(self.NEWER, endpoint_id="e2")], {"v1", "v2"}),
            ("draining", [evolve(old, state=DRAINING)], {"v1"}),
            ("ended", [old, evolve(old, state=GONE)], {"v1"}),
            (
                "address taken over",
                [old, evolve(old, endpoint_id="e2", version="v2", born_ms=200)],
                {"v1", "v2"},
            ),
            (
                "started again under its id",
                [old, evolve(self.NEWER, born_ms=200)],
                {"v1", "v2"},
            ),
            ("end of an unknown one", [Announcement("e9", 0, 0, GONE)], set()),
        ]
        for name, announcements, versions in cases:
            with self.subTest(name):
                directory = EndpointDirectory()
                for announcement in announcements:
                    directory.merge(announcement, 10.0)
                self.assertEqual(directory.versions("s", 9.0), versions)

    def test_ended_version_counts_within_the_window_only(self) -> None:
        directory = EndpointDirectory()
        directory.merge(evolve(READY_ENDPOINT, version="v1"), 10.0)
        directory.mark_gone("e1", 100, 20.0)
        self.assertEqual(directory.versions("s", 20.0), {"v1"})
        self.assertEqual(directory.versions("s", 20.1), set())
        directory.expire(20.0 + VERSION_KEPT_SECONDS + 1)
        self.assertEqual(directory.version_seen_at, {})

    # It may only be cut off from the registry, and begin streams all the while.
    def test_version_of_an_endpoint_that_timed_out_counts(self) -> None:
        directory = EndpointDirectory()
        directory.merge(evolve(READY_ENDPOINT, version="v1"), 10.0)
        later = 10.0 + ENDPOINT_EXPIRY_SECONDS + 20
        directory.expire(later)
        self.assertEqual(directory.versions("s", later), {"v1"})

    def test_version_of_a_forgotten_endpoint_ends(self) -> None:
        directory = EndpointDirectory()
        directory.merge(evolve(READY_ENDPOINT, version="v1"), 10.0)
        self.assertEqual(directory.versions("s", 11.0), {"v1"})
        directory.discard("e1")
        self.assertEqual(directory.versions("s", 11.0), set())

    # Many routers ask at the same time, after all have lost power.
    def test_time_of_a_query(self) -> None:
        times = []
        for count in (300, 3000):
            directory = EndpointDirectory()
            for number in range(count):
                announcement = evolve(
                    READY_ENDPOINT, endpoint_id=f"e{number}", address=f"10.0.{number}:1"
                )
                directory.merge(announcement, 1.0)
            directory.versions("s", 0.0)
            started_at = process_time()
            for _ in range(2000):
                directory.versions("s", 0.0)
            times.append(process_time() - started_at)
        self.assertLess(times[1], 4 * times[0], times)
