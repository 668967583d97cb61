"""Names of the platform are only used in the adapter."""

import re
from pathlib import Path
from unittest import TestCase

ROOT = Path(__file__).parents[2] / "pistachiolever"
ADAPTER = ROOT / "platform"
# Names of the platform's headers, fields, paths and settings. Standard HTTP headers
# (Retry-After, Last-Event-Id, Authorization, Keep-Alive) may be used anywhere.
NAMES = [
    "kvtotal",
    "kvused",
    "kvcapacitytokens",
    "heartbeataddr",
    "coldleftms",
    "targetlatencyms",
    "targetgapms",
    "trafficsplit",
    "pathprefix",
    "timeoutms",
    "maxattempts",
    "apikeys",
    "healthpath",
    "maxconns",
    "tokenspers",
    "server-stamp",
    "prompt-prefix",
    "token-counts",
    "expect-instance",
    "deadline-ms",
    "kv-from",
    "kv-backup",
    "kv-fetch",
    "pin-ms",
    "server-load",
    "instance-id",
    "not-run",
    "expect-version",
    "pistachiolever_boot",
    "contactms",
    "configapplyms",
    "drainms",
    "graces",
    "portrange",
    "machineclass",
    "faultcounted",
    "retrybudgetratio",
    "budgetwindows",
    "budgetslack",
    "/api/config",
    "/api/instances",
    "/api/report",
    "/api/ready",
    "/api/evacuate",
    "evacuatems",
    "coldstarts",
    "coldpers",
    "coldoverage",
    "coldslack",
    "cold-ms",
]
MAX_ADAPTER_LINES = 800


class BoundaryTest(TestCase):
    """Searches the source text of all modules outside the adapter."""

    def test_platform_names_are_only_in_the_adapter(self) -> None:
        quoted = "|".join(re.escape(name) for name in NAMES)
        pattern = re.compile(rf"[\"'](?:{quoted})/?[\"']", re.IGNORECASE)
        leaks = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in ROOT.rglob("*.py")
            if ADAPTER not in path.parents
            for match in pattern.finditer(path.read_text())
        ]
        self.assertEqual(leaks, [])

    def test_only_the_adapter_imports_the_adapter(self) -> None:
        importers = [
            str(path.relative_to(ROOT))
            for path in ROOT.rglob("*.py")
            if ADAPTER not in path.parents
            and "pistachiolever.platform" in path.read_text()
        ]
        self.assertEqual(importers, [])

    def test_the_adapter_stays_small(self) -> None:
        lines = sum(len(p.read_text().splitlines()) for p in ADAPTER.glob("*.py"))
        self.assertLess(lines, MAX_ADAPTER_LINES)
