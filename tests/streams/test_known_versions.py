"""Versions at which streams may begin: the first one, and those a majority knows."""

from nose2.tools import params

from pistachiolever.streams.const import MAX_KNOWN_VERSIONS
from pistachiolever.streams.known_versions import KnownVersions
from pistachiolever.streams.models import StreamReply
from tests.support.cases import CaseTest


def replies(*versions: str) -> list[StreamReply]:
    """Return a reply of each member; its versions are separated by spaces."""
    return [StreamReply(versions={"s": text.split()}) for text in versions]


class KnownVersionsTest(CaseTest):
    """A new version is confirmed by what the members reply."""

    @params(
        (["v1 v2", "v1", "v1"], 3, False),
        (["v1 v2", "v1 v2", "v1"], 3, True),
        (["v1 v2", "v2"], 3, True),
        (["v1 v2"], 3, False),
        (["v1 v2", "v2"], 5, False),
        (["v2", "v2", "v2"], 5, True),
        (["v2"], 1, True),
        ([], 1, False),
        ([], 0, True),
    )
    def test_majority_confirms(
        self, known: list[str], member_count: int, is_confirmed: bool
    ) -> None:
        versions = KnownVersions()
        self.assertEqual(versions.add({"s": {"v1"}}), [])
        self.assertEqual(versions.add({"s": {"v1", "v2"}}), ["s"])
        self.assertEqual(versions.add({"s": {"v2"}}), [])
        confirmed = versions.apply_replies("s", replies(*known), member_count)
        self.assertEqual(confirmed, {"v2"} if is_confirmed else set())
        self.assertTrue(versions.may_begin("s", "v1"))
        self.assertEqual(versions.may_begin("s", "v2"), is_confirmed)
        self.assertEqual(versions.is_pending("s"), not is_confirmed)

    # Which of them was there first is not known to a router that has just started.
    def test_none_of_several_first_versions_is_confirmed(self) -> None:
        versions = KnownVersions()
        self.assertEqual(versions.add({"s": {"v1", "v2"}, "t": {"v1"}}), ["s"])
        self.assertFalse(versions.may_begin("s", "v1"))
        self.assertTrue(versions.may_begin("t", "v1"))
        self.assertFalse(versions.is_any_confirmed("s"))
        self.assertTrue(versions.is_any_confirmed("t"))
        self.assertTrue(versions.is_any_confirmed("u"))

    def test_version_that_has_gone_is_not_asked_about(self) -> None:
        versions = KnownVersions()
        versions.add({"s": {"v1"}})
        versions.add({"s": {"v2"}})
        versions.forget_pending("s", {"v1"})
        self.assertFalse(versions.is_pending("s"))
        self.assertEqual(versions.add({"s": {"v2"}}), ["s"])

    def test_confirmed_versions_are_bounded(self) -> None:
        versions = KnownVersions()
        versions.add({"s": {"v0"}})
        for number in range(MAX_KNOWN_VERSIONS + 1):
            versions.add({"s": {f"w{number}"}})
            versions.apply_replies("s", [], 0)
        self.assertEqual(len(versions.confirmed_by_service["s"]), MAX_KNOWN_VERSIONS)
        self.assertNotIn("v0", versions.confirmed_by_service["s"])
