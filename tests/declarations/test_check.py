"""Tests of the validation of declarations and settings."""

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase

from nose2.tools import params
from orjson import dumps

from pistachiolever.declarations.check import check_declarations
from pistachiolever.declarations.codec import from_text, to_text
from pistachiolever.declarations.diff import diff_documents
from pistachiolever.declarations.loader import load_declarations
from pistachiolever.declarations.models import Revision
from pistachiolever.settings.errors import InvalidDocumentError
from pistachiolever.settings.loader import check_settings

EXAMPLES = Path(__file__).parents[2] / "examples"
GOOD: dict[str, Any] = {
    "accounts": [{"id": "a", "key_sha256": ["0" * 64], "service_ids": ["s"]}],
    "services": [{"id": "s", "kind": "model", "repeatable": True}],
    "presets": [{"id": "p"}],
    "preset_in_force": "p",
}
SETTINGS: dict[str, Any] = {
    "process_id": "router-1",
    "address": "127.0.0.1:7000",
    "failure_domain": "fd",
    "fleet_secret": "x" * 32,
    "control_addresses": ["127.0.0.1:7001"],
    "router": {},
}


class DeclarationsTest(TestCase):
    """Each problem is reported with its path and the allowed values."""

    @params(
        ("unknown key", {"acounts": []}, "acounts", "unknown key; allowed: accounts"),
        ("wrong type", {"endpoints": 1}, "endpoints", "allowed: array"),
        (
            "out of range",
            {"accounts": [{**GOOD["accounts"][0], "weight": -1}]},
            "accounts.0.weight",
            "out of range; allowed: 0.01 to 1000",
        ),
        (
            "bad name",
            {"services": [*GOOD["services"], {**GOOD["services"][0], "id": "A b"}]},
            "services.1.id",
            "expected lower-case letters",
        ),
        (
            "duplicate",
            {"services": GOOD["services"] * 2},
            "services.1.id",
            "declared twice",
        ),
        (
            "dangling service",
            {"accounts": [{**GOOD["accounts"][0], "service_ids": ["x"]}]},
            "accounts.0.service_ids",
            "no service 'x'; declared: s",
        ),
        ("dangling preset", {"preset_in_force": "q"}, "preset_in_force", "declared: p"),
        (
            "factor of an undeclared account",
            {"presets": [{"id": "p", "account_weight_factors": {"z": 2}}]},
            "presets.0.account_weight_factors.z",
            "no such account",
        ),
        (
            "kind",
            {"services": [{"id": "s", "kind": "x", "repeatable": True}]},
            "services.0.kind",
            "allowed: model, plain",
        ),
    )
    def test_problem(
        self, name: str, change: dict[str, Any], path: str, text: str
    ) -> None:
        problems = check_declarations({**GOOD, **change}, "f.json")
        self.assertEqual([p.path for p in problems], [path], problems)
        self.assertIn(text, problems[0].message, name)

    def test_reports_all_problems(self) -> None:
        document = {**GOOD, "extra": 1, "presets": [], "services": GOOD["services"] * 2}
        problems = check_declarations(document, "f.json")
        self.assertEqual(
            sorted(problem.path for problem in problems),
            ["extra", "preset_in_force", "services.1.id"],
        )

    @params("bengal", "nordeste")
    def test_loads_the_examples(self, name: str) -> None:
        declarations = load_declarations(EXAMPLES / name)
        self.assertEqual(len(declarations.accounts), 16)
        self.assertEqual(len(declarations.presets), 3)
        self.assertEqual(from_text(to_text(declarations)), declarations)
        revision = Revision.of(7, declarations)
        self.assertEqual(revision.preset.id, "ordinary-day")

    def test_problems_name_the_file(self) -> None:
        with TemporaryDirectory() as folder:
            bad = Path(folder) / "accounts.json"
            bad.write_bytes(dumps({"accounts": [{"id": "a"}]}))
            (Path(folder) / "broken.json").write_text("{")
            with self.assertRaises(InvalidDocumentError) as caught:
                load_declarations(Path(folder))
        files = {Path(problem.file).name for problem in caught.exception.problems}
        self.assertEqual(files, {"accounts.json", "broken.json"})

    def test_duplicate_across_files_names_the_second_file(self) -> None:
        with TemporaryDirectory() as folder:
            for name in ("one", "two"):
                document = {"services": GOOD["services"]}
                if name == "one":
                    document = {**GOOD}
                (Path(folder) / f"{name}.json").write_bytes(dumps(document))
            with self.assertRaises(InvalidDocumentError) as caught:
                load_declarations(Path(folder))
        found = [(Path(p.file).name, p.path) for p in caught.exception.problems]
        self.assertEqual(found, [("two.json", "services.0.id")])

    def test_diff(self) -> None:
        after = {**GOOD, "preset_in_force": "q", "accounts": []}
        lines = [str(entry) for entry in diff_documents(GOOD, after)]
        self.assertEqual(lines, ["- accounts.a", '~ preset_in_force: "p" -> "q"'])


LEASE = "lease_seconds"


class SettingsTest(TestCase):
    """Settings of a process are validated before it starts."""

    @params(
        ("good", {}, []),
        ("host name", {"address": "router:7000"}, ["address"]),
        ("short secret", {"fleet_secret": "x"}, ["fleet_secret"]),
        (
            "short lease",
            {"lease_seconds": 1.0, "heartbeat_seconds": 0.9},
            [LEASE],
        ),
        # A missing heartbeat counted as 0, so any lease passed the check.
        ("lease too short for the default heartbeat", {"lease_seconds": 1.5}, [LEASE]),
        ("heartbeat too long for the default lease", {"heartbeat_seconds": 3}, [LEASE]),
        ("unknown", {"colour": 1}, ["colour"]),
        ("nested", {"router": {"max_queue_bytes": 1}}, ["router.max_queue_bytes"]),
    )
    def test_problem(
        self, name: str, change: dict[str, Any], expected: list[str]
    ) -> None:
        problems = check_settings({**SETTINGS, **change}, "f.json", "router")
        self.assertEqual([problem.path for problem in problems], expected, name)

    def test_role_requires_its_settings(self) -> None:
        problems = check_settings(SETTINGS, "f.json", "sidecar")
        self.assertEqual([problem.path for problem in problems], ["sidecar"])
