"""Where a stream began, from what routers and members know."""

from attrs import evolve
from nose2.tools import params

from pistachiolever.streams.models import StreamOrigin, StreamReply
from pistachiolever.streams.origins import record_copies, resolve_origin
from tests.support.cases import CaseTest

OLD = StreamOrigin("s", "v1")
NEW = StreamOrigin("s", "v2")
WINDOW_SECONDS = 8.0


def witness(*versions: str, seconds: float = 60.0) -> StreamReply:
    """Return the reply of a member that has heard of endpoints for some time."""
    return StreamReply({}, {"s": list(versions)}, round(seconds * 1000))


def member(base: str, *versions: str, seconds: float = 60.0) -> StreamReply:
    """Return the reply of a member that knows a base version, if there is one."""
    bases = {"s": base} if base else {}
    return evolve(witness(*versions, seconds=seconds), bases=bases)


ONE = witness("v1")
BASE = member("v1", "v1", "v2")
OTHER_BASE = member("v2", "v2")
NO_BASE = member("", "v1", "v2")
NEWBORN_OF_BASE = member("v1", "v1", "v2", seconds=1.0)
BOTH = witness("v1", "v2")
NEWBORN = witness("v1", seconds=5.0)
NEWBORN_OF_BOTH = witness("v1", "v2", seconds=1.0)


class ResolveOriginTest(CaseTest):
    """An origin is named only if it is certain."""

    @params(
        ("known", [OLD], set(), [], OLD),
        ("known, while another version serves", [OLD], {"v2"}, [BOTH] * 3, OLD),
        ("known by several", [OLD, OLD], set(), [], OLD),
        ("begun at two versions", [OLD, NEW], {"v1"}, [ONE] * 3, None),
        ("one version for long", [], {"v1"}, [ONE, ONE, ONE], OLD),
        ("one version, a member is lost", [], {"v1"}, [ONE, ONE], OLD),
        ("one version, two members are lost", [], {"v1"}, [ONE], None),
        ("one version, two members are new", [], set(), [ONE] + 2 * [NEWBORN], None),
        ("two versions", [], set(), [BOTH, BOTH, BOTH], None),
        ("two versions, of which one member knows", [], set(), [ONE, ONE, BOTH], None),
        ("another version at the router", [], {"v2"}, [ONE, ONE, ONE], None),
        ("a new member knows of another", [], set(), [ONE, ONE, NEWBORN_OF_BOTH], None),
        ("recorded beside a base", [NEW], {"v1"}, [BASE] * 3, NEW),
        ("begun at the base", [], {"v1", "v2"}, [BASE] * 3, OLD),
        ("begun at a base, a member is lost", [], set(), [BASE] * 2, OLD),
        ("begun at a base, one has another", [], set(), [BASE, OTHER_BASE, BASE], OLD),
        ("too few agree on a base", [], set(), [BASE, OTHER_BASE, NO_BASE], None),
        ("two agree on a base, one is new", [], set(), [BASE] * 2 + [NEWBORN], OLD),
        ("two of three are new", [], set(), [BASE] + 2 * [NEWBORN_OF_BASE], None),
        ("no version", [], set(), [witness()] * 3, None),
        ("no member", [], {"v1"}, [], None),
    )  # fmt: skip
    def test_table(
        self,
        _name: str,
        known: list[StreamOrigin],
        own: set[str],
        replies: list[StreamReply],
        expected: StreamOrigin | None,
    ) -> None:
        resolution = resolve_origin("s", known, own, replies, 3, WINDOW_SECONDS)
        self.assertEqual(resolution.origin, expected)
        self.assertEqual(resolution.reason == "", expected is not None)

    # ORDER: the members that have the record may be those that don't reply.
    @params((1, 1), (3, 2), (4, 3), (5, 3), (7, 5), (34, 32))
    def test_so_many_members_know_that_there_is_no_record(
        self, member_count: int, needed: int
    ) -> None:
        for count in (needed, needed - 1):
            resolution = resolve_origin(
                "s", [], set(), count * [BASE], member_count, WINDOW_SECONDS
            )
            self.assertEqual(resolution.origin, OLD if count == needed else None)
        self.assertGreater(record_copies(member_count) + needed, member_count)

    # A router that knows no member yet took silence for agreement.
    def test_no_member_is_known(self) -> None:
        resolution = resolve_origin("s", [], {"v1"}, [], 0, WINDOW_SECONDS)
        self.assertIsNone(resolution.origin)
