"""The versions of services that a member keeps on disk, and their base versions."""

from attrs import evolve, frozen
from hypothesis import given, strategies as st
from nose2.tools import params

from pistachiolever.streams.const import BASE_SECONDS
from pistachiolever.streams.version_history import (
    SavedVersions,
    VersionHistory,
    decode_versions,
    encode_versions,
)
from tests.support.cases import CaseTest

SAVED = SavedVersions(True, {"s": ["v1", "v2"], "t": ["v3"]}, {"s": "v1"})


@frozen
class Step:
    """The versions of a service that a member remembers from a time on."""

    at: float
    versions: set[str]


@frozen
class Case:
    """Steps, and the base version at their end; empty if there is none."""

    name: str
    steps: list[Step]
    base: str


ONE, BOTH, OTHER = {"v1"}, {"v1", "v2"}, {"v2"}
LATER = 10.0 + BASE_SECONDS
CASES = [
    Case("just announced", [Step(10.0, ONE), Step(LATER - 0.1, ONE)], ""),
    Case("the only one", [Step(10.0, ONE), Step(LATER, ONE)], "v1"),
    Case("two from the start", [Step(10.0, BOTH), Step(LATER, BOTH)], ""),
    Case("two soon", [Step(10.0, ONE), Step(11.0, BOTH), Step(LATER, BOTH)], ""),
    Case(
        "one joins",
        [Step(10.0, ONE), Step(LATER, ONE), Step(20.0, BOTH), Step(90.0, BOTH)],
        "v1",
    ),
    Case(
        "the base is forgotten",
        [Step(10.0, ONE), Step(LATER, ONE), Step(20.0, BOTH), Step(30.0, OTHER)],
        "",
    ),
    Case(
        "another one is the only one for long",
        [Step(LATER, ONE), Step(20.0, BOTH), Step(30.0, OTHER), Step(40.0, OTHER)],
        "v2",
    ),
    Case("none is left", [Step(10.0, ONE), Step(LATER, ONE), Step(30.0, set())], ""),
]


class VersionHistoryTest(CaseTest):
    """A version is the base from when it was the only one, until it is forgotten."""

    @params(*CASES)
    def test_base_version(self, case: Case) -> None:
        history = VersionHistory()
        for step in case.steps:
            history.update({"s": step.versions, "t": {"w"}}, step.at)
        self.assertEqual(history.base_by_service.get("s", ""), case.base)

    # ORDER: another version would have counted as the one that began the streams.
    @params(ONE, BOTH, OTHER)
    def test_restart_keeps_the_base(self, versions: set[str]) -> None:
        history = VersionHistory()
        history.restore(SAVED)
        history.update({"s": {"v1"} | versions}, 1.0)
        self.assertEqual(history.base_by_service, {"s": "v1"})
        self.assertTrue(history.is_complete)

    def test_only_what_is_on_disk_is_told(self) -> None:
        history = VersionHistory()
        for now in (1.0, 1.0 + BASE_SECONDS):
            history.update({"s": {"v1"}}, now)
        self.assertTrue(history.is_unsaved())
        self.assertEqual(history.saved_versions(["s"]), {"s": []})
        self.assertEqual(history.saved_bases(["s"]), {})
        history.saved = history.pack()
        self.assertFalse(history.is_unsaved())
        self.assertEqual(history.saved_versions(["s", "u"]), {"s": ["v1"], "u": []})
        self.assertEqual(history.saved_bases(["s", "u"]), {"s": "v1"})

    @given(st.integers(0, len(encode_versions(SAVED)) - 2), st.integers(1, 255))
    def test_damaged_file_is_noticed(self, position: int, change: int) -> None:
        data = bytearray(encode_versions(SAVED))
        self.assertEqual(decode_versions(bytes(data)), SAVED)
        data[position] ^= change
        self.assertIsNone(decode_versions(bytes(data)))
        self.assertIsNone(decode_versions(bytes(data[:position])))

    def test_file_without_bases_is_read(self) -> None:
        saved = evolve(SAVED, bases={})
        self.assertEqual(decode_versions(encode_versions(saved)), saved)
