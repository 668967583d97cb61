"""Documents of the platform are decoded, or refused with the invalid field."""

from copy import deepcopy
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from hypothesis import given, strategies as st
from orjson import dumps

from pistachiolever.discovery.fields import InvalidAnnouncementError
from pistachiolever.discovery.models import EndpointState
from pistachiolever.events.logger import make_log_writer
from pistachiolever.platform.configuration import decode_configuration
from pistachiolever.platform.endpoints import (
    decode_announcement,
    decode_report,
    decode_start_time,
)
from pistachiolever.platform.settings import read_settings
from pistachiolever.routing.errors import InvalidConfigurationError
from pistachiolever.routing.models import RequestKind
from pistachiolever.runtime.context import RoleContext
from pistachiolever.settings.errors import InvalidDocumentError
from tests.support.cases import CaseTest
from tests.support.profile import STATEFUL

CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "plans",
            "host": "One.example",
            "pathPrefix": "/plans/",
            "kind": "stream",
            "timeoutMs": 12000,
            "targetLatencyMs": 1200,
            "priority": 1,
            "trafficSplit": [
                {"service": "model", "weight": 90},
                {"service": "desk", "weight": 10},
            ],
            "maxAttempts": 2,
            "resumable": True,
            "targetGapMs": 600,
            "unknown": [1],
        },
        {
            "name": "desk",
            "host": "one.example",
            "pathPrefix": "/desk/",
            "kind": "non_idempotent",
            "timeoutMs": 2000,
            "service": "desk",
        },
    ],
    "services": [
        {
            "name": "model",
            "healthPath": "/health",
            "maxConns": 300,
            "engine": {
                "slots": 64,
                "kvCapacityTokens": 300000,
                "stride": 7,
                "models": [{"name": "m"}],
            },
        },
        {"name": "desk", "healthPath": "/health", "maxConns": 100},
    ],
    "limits": {"maxHeaderBytes": 9000, "idleTimeoutMs": 8000, "tokensPerS": 90000},
    "tenants": [{"name": "a", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def changed(*path: Any, value: Any) -> bytes:
    """Return the configuration with one field replaced, or removed by None."""
    document = deepcopy(CONFIGURATION)
    parent: Any = document
    for step in path[:-1]:
        parent = parent[step]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return dumps(document)


class ConfigurationTest(CaseTest):
    """Valid and invalid configurations."""

    def test_valid(self) -> None:
        configuration = decode_configuration(dumps(CONFIGURATION))
        plans, desk = configuration.routes
        self.assertEqual((plans.host, plans.kind), ("one.example", RequestKind.STREAM))
        self.assertEqual((plans.timeout_seconds, plans.gap_seconds), (12.0, 0.6))
        self.assertTrue(plans.retryable)
        self.assertEqual((desk.attempts, desk.target_seconds), (1, 2.0))
        self.assertFalse(desk.retryable)
        engine = configuration.services[0].engine
        assert engine is not None
        self.assertEqual((engine.memory_tokens, engine.event_tokens), (300_000, 7))
        self.assertIsNone(configuration.services[1].engine)
        limits = configuration.limits
        self.assertEqual((limits.max_head_bytes, limits.idle_seconds), (9000, 8.0))
        self.assertEqual(configuration.tokens_per_second, 90_000)

    def test_without_accounts_no_key_is_needed(self) -> None:
        configuration = decode_configuration(changed("tenants", value=None))
        self.assertIsNone(configuration.accounts)

    def test_invalid(self) -> None:
        other = dict(CONFIGURATION["routes"][0], name="other", host="one.example")
        cases = {
            "document": dumps(CONFIGURATION)[:-20],
            "document.version": changed("version", value="7"),
            "document.routes": changed("routes", value=None),
            "routes[0]": changed("routes", 0, "trafficSplit", 0, "service", value="x"),
            "routes[2]": changed("routes", value=[*CONFIGURATION["routes"], other]),
            "document.routes[0].timeoutMs": changed(
                "routes", 0, "timeoutMs", value="soon"
            ),
            "document.routes[1].kind": changed("routes", 1, "kind", value="other"),
            "document.routes[0]": changed("routes", 0, value=3),
            "keys": changed(
                "tenants",
                value=[
                    {"name": "a", "apiKeys": ["k"]},
                    {"name": "b", "apiKeys": ["k"]},
                ],
            ),
            "routes[1]": changed("routes", 1, "timeoutMs", value=0),
        }
        weightless = [{"service": "model", "weight": 0}]
        cases["routes[0] "] = changed("routes", 0, "trafficSplit", value=weightless)
        for error_path, document in cases.items():
            with self.subTest(error_path):
                with self.assertRaises(InvalidConfigurationError) as caught:
                    decode_configuration(document)
                self.assertEqual(caught.exception.path, error_path.strip())

    # It was acknowledged, and then the numbers made of it fitted into no message.
    def test_numbers_out_of_range(self) -> None:
        paths: list[tuple[Any, ...]] = [
            ("version",),
            ("routes", 0, "priority"),
            ("routes", 0, "timeoutMs"),
            ("routes", 0, "targetLatencyMs"),
            ("routes", 0, "maxAttempts"),
            ("routes", 0, "targetGapMs"),
            ("routes", 0, "trafficSplit", 0, "weight"),
            ("services", 0, "maxConns"),
            ("services", 0, "engine", "slots"),
            ("services", 0, "engine", "kvCapacityTokens"),
            ("services", 0, "engine", "stride"),
            ("tenants", 0, "priority"),
            ("limits", "tokensPerS"),
            ("limits", "idleTimeoutMs"),
            ("limits", "maxHeaderBytes"),
        ]
        for path in paths:
            for value in (2**64 - 1, 2**53 + 1, -(2**60), 1e300, -1e300):
                with (
                    self.subTest(path=path, value=value),
                    self.assertRaises(InvalidConfigurationError),
                ):
                    decode_configuration(changed(*path, value=value))

    @STATEFUL
    @given(
        value=st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        ),
        path=st.sampled_from(
            [
                ("version",),
                ("routes",),
                ("services",),
                ("limits",),
                ("tenants",),
                ("routes", 0),
                ("routes", 0, "trafficSplit"),
                ("routes", 0, "pathPrefix"),
                ("services", 0, "engine"),
                ("tenants", 0, "apiKeys"),
            ]
        ),
    )
    def test_any_value_is_decoded_or_refused(
        self, value: Any, path: tuple[Any, ...]
    ) -> None:
        document = deepcopy(CONFIGURATION)
        parent: Any = document
        for step in path[:-1]:
            parent = parent[step]
        parent[path[-1]] = value
        try:
            text = dumps(document)
        except TypeError:
            return
        try:
            decode_configuration(text)
        except InvalidConfigurationError as error:
            self.assertTrue(error.path)


HEARTBEAT = {
    "service": "model",
    "address": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 64,
    "state": "draining",
    "coldLeftMs": 500,
    "models": [{"name": "m"}],
    "seq": 4,
    "born": 1700000000000,
}


class AnnouncementTest(CaseTest):
    """Valid and malformed heartbeats and reports of engines."""

    def test_valid(self) -> None:
        announcement = decode_announcement("i-1", dumps(HEARTBEAT), 7400)
        self.assertEqual(announcement.agent, "10.0.0.9:7400")
        self.assertEqual(announcement.state, EndpointState.DRAINING)
        self.assertEqual(announcement.version, "v1")
        self.assertEqual(
            (announcement.cold_seconds, announcement.born_ms), (0.5, 1700000000000)
        )
        plain = {name: v for name, v in HEARTBEAT.items() if name != "models"}
        self.assertEqual(decode_announcement("i-1", dumps(plain), 7400).agent, "")

    def test_malformed_heartbeats(self) -> None:
        cases: list[bytes] = [b"", b"\xff\xfe", b"[]", b"3", b'{"service"']
        names = ("service", "address", "zone", "version", "slots", "state", "seq")
        for name in (*names, "born"):
            without = {key: v for key, v in HEARTBEAT.items() if key != name}
            cases.append(dumps(without))
            cases.append(dumps(dict(HEARTBEAT, **{name: [1]})))
        cases.append(dumps(dict(HEARTBEAT, state="leaving")))
        cases.append(dumps(dict(HEARTBEAT, address="10.0.0.9")))
        cases.append(dumps(dict(HEARTBEAT, born=1.5)))
        for body in cases:
            with self.subTest(body), self.assertRaises(InvalidAnnouncementError):
                decode_announcement("i-1", body, 7400)

    def test_start_time_in_a_deregistration(self) -> None:
        cases = {b"": None, b'{"born":5}': 5, b'{"born":"x"}': None, b"\xff": None}
        for body, expected in cases.items():
            with self.subTest(body):
                self.assertEqual(decode_start_time(body), expected)

    def test_report(self) -> None:
        body = dumps(
            {
                "born": 5,
                "waiting": 1,
                "running": 2,
                "kvUsed": 41000,
                "kvTotal": 90000,
                "runs": [["id1", 1200, 3, 1], ["id2", 800, 0, 1]],
            }
        )
        report = decode_report(body)
        self.assertEqual([run.request_id for run in report.runs], ["id1", "id2"])
        self.assertEqual((report.born_ms, report.waiting), (5, 1))

    # A deeply nested run or a number too large for a message ended the agent.
    def test_odd_reports_are_refused(self) -> None:
        fields = {"born": 5, "waiting": 1, "running": 2, "kvUsed": 3, "kvTotal": 9}
        text = dumps(fields)[:-1]
        deep = b"[" * 990 + b"]" * 990
        runs = [
            b'["id",1,%s]' % deep,
            b"[%s,1,2]" % deep,
            b'["id",1e300,2]',
            b'["id",1,18446744073709551615]',
            b'["id",-1,2]',
            b'["id",true,2]',
            b'["id",1,"2"]',
            b"[5,1,2]",
            b'["id"]',
            b'{"a":1}',
            b'"abc"',
        ]
        cases = [text + b',"runs":[' + run + b"]}" for run in runs]
        cases += [text + b',"runs":{"a":1}}', text + b',"runs":"abc"}']
        for name in fields:
            cases.append(dumps(fields | {name: 2**64 - 1}))
            cases.append(dumps(fields | {name: 10**17}))
        for body in cases:
            with (
                self.subTest(body[:120]),
                self.assertRaises(InvalidAnnouncementError),
            ):
                decode_report(body)


SETTINGS = """
node = "front-1"
ip = "10.1.0.33"
zone = "north"
portRange = [7400,7415]
seeds = ["10.1.0.35:8785","10.2.0.19:8785"]
bootstrap = true
dataDir = "/data/x"
[listen]
front = "10.1.0.33:8783"
ready = "10.1.0.33:8780"
[bounds]
graceS = 8
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
"""


class SettingsTest(CaseTest):
    """A valid and a truncated settings file."""

    def test_settings(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "local.toml"
            path.write_text(SETTINGS)
            settings = read_settings(path)
            self.assertEqual(settings.seeds, ["10.1.0.35:7400", "10.2.0.19:7400"])
            self.assertEqual(settings.registry().address, "10.1.0.33:7400")
            self.assertTrue(settings.registry().founder)
            self.assertEqual(settings.gateway().retry_slack, 54.0)
            path.write_text(SETTINGS[:40])
            with self.assertRaises(InvalidDocumentError):
                read_settings(path)

    # A process that reloaded a file of which only the beginning was there ended.
    def test_process_keeps_its_settings_beside_an_unusable_file(self) -> None:
        seeds = 'seeds = ["10.1.0.35:8785","10.2.0.19:8785"]'
        unusable = [
            SETTINGS.replace("[7400,7415]", text)
            for text in ("[]", '"x"', '["a"]', "[70000]", "[0]", "5")
        ]
        unusable += [
            SETTINGS.replace(seeds, f"seeds = {text}")
            for text in ("[5]", '"x"', '[["a"]]', '["10.1.0.35"]', '["a b:80"]', "3")
        ]
        unusable += [SETTINGS[:end] for end in range(len(SETTINGS))]
        unusable += ["a = " + "[" * 5000, "a = " + "9" * 5000, SETTINGS + "\x00"]
        with TemporaryDirectory() as folder:
            path = Path(folder) / "local.toml"
            path.write_text(SETTINGS)
            settings = read_settings(path)
            context = RoleContext(
                path, read_settings, settings, make_log_writer("a", lambda: 0)
            )
            for text in unusable:
                with self.subTest(text[-60:]):
                    path.write_text(text)
                    context.reload()
                    self.assertEqual(context.settings.seeds, settings.seeds)
                    self.assertEqual(context.settings.peer_port, 7400)
