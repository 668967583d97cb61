"""Odd announcements name no endpoint; the others hold, at whoever reads them."""

from typing import Any

from attrs import evolve
from orjson import dumps

from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.fields import InvalidAnnouncementError
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.platform.endpoints import (
    decode_announcement,
    decode_start_time,
)
from tests.gateway.test_relay import respond, send_requests
from tests.http1.test_odd_addresses import ODD_ADDRESSES
from tests.support.cases import CaseTest

HEARTBEAT: dict[str, Any] = {
    "service": "model",
    "address": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 500,
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "born": 1_700_000_000_000,
}
ODD_FIELDS: tuple[tuple[str, Any], ...] = (
    ("seq", 2**64 - 1),
    ("seq", 10**15),
    ("born", 2**64 - 1),
    ("born", 10**16),
    ("slots", 2**64 - 1),
    ("slots", 10**9),
    ("coldLeftMs", 2**64 - 1),
    ("coldLeftMs", 10**12),
    ("seq", 1e30),
    ("born", 1.7e12),
    ("service", "s" * 300),
    ("service", "s\x00"),
    ("zone", "z" * 300),
    ("zone", "north\n"),
    ("version", "v" * 100_000),
    ("version", "v\x1b"),
)
ODD_IDS = ("", "a b", "i\r\n", "é", "i" * 300)
ENDPOINT = Announcement("odd", 5, 1, EndpointState.READY, "s", "127.0.0.1:9", "north")
# What an earlier version has accepted and may still tell.
STORED = (
    *(evolve(ENDPOINT, address=address) for address in ODD_ADDRESSES),
    evolve(ENDPOINT, agent="10.0.0\x00.9:80"),
    evolve(ENDPOINT, agent="10.0.0.9:70000"),
    evolve(ENDPOINT, sequence=2**64 - 1),
    evolve(ENDPOINT, sequence=-1),
    evolve(ENDPOINT, born_ms=2**64 - 1),
    evolve(ENDPOINT, born_ms=2**64 - 1, state=EndpointState.GONE),
    evolve(ENDPOINT, slots=2**64 - 1),
    evolve(ENDPOINT, slots=0),
    evolve(ENDPOINT, cold_seconds=float("inf")),
    evolve(ENDPOINT, cold_seconds=float("nan")),
    evolve(ENDPOINT, version="v" * 300),
    evolve(ENDPOINT, endpoint_id="a b"),
    evolve(ENDPOINT, address=""),
)


class DecodeTest(CaseTest):
    """Heartbeats of engines are accepted, those of other writers refused."""

    def test_proper_heartbeats(self) -> None:
        cases: list[dict[str, Any]] = [
            {},
            {"address": "10.128.0.9:1"},
            {"address": "127.0.0.1:65535"},
            {"address": "::1:8080"},
            {"address": "engine-7.north.example:80"},
            {"address": "my_engine:80"},
            {"seq": 0, "coldLeftMs": 0, "slots": 1, "born": 0},
            {"seq": 50_000_000, "coldLeftMs": 3_600_000, "slots": 4096},
            {"state": "draining", "zone": "joão pessoa", "version": "2026.12+b3"},
            {"stage": "both", "unknown": [{"a": None}], "models": []},
        ]
        for fields in cases:
            with self.subTest(fields):
                body = dumps(HEARTBEAT | fields)
                announcement = decode_announcement("i-7f3a91c2", body, 7400)
                directory = EndpointDirectory()
                self.assertTrue(directory.merge(announcement, 1.0))

    # A port of 70000 and hosts that nothing can look up travelled to all routers.
    def test_odd_address_is_refused(self) -> None:
        for address in ODD_ADDRESSES:
            with (
                self.subTest(address[:40]),
                self.assertRaises(InvalidAnnouncementError),
            ):
                decode_announcement("i", dumps(HEARTBEAT | {"address": address}), 7400)

    # Numbers of any size and texts of any length travelled to all routers.
    def test_odd_field_is_refused(self) -> None:
        for name, value in ODD_FIELDS:
            with (
                self.subTest(name=name, value=str(value)[:40]),
                self.assertRaises(InvalidAnnouncementError),
            ):
                decode_announcement("i", dumps(HEARTBEAT | {name: value}), 7400)

    def test_odd_id_is_refused(self) -> None:
        for endpoint_id in ODD_IDS:
            with self.subTest(endpoint_id), self.assertRaises(InvalidAnnouncementError):
                decode_announcement(endpoint_id, dumps(HEARTBEAT), 7400)

    def test_unreadable_documents_are_refused(self) -> None:
        text = dumps(HEARTBEAT)
        depth = 100_000
        bodies = [
            text[:-1] + b',"seq":' + b"9" * 6000 + b"}",
            text[:-1] + b',"seq":18446744073709551616}',
            text[:-1] + b',"born":NaN}',
            text[:-1] + b',"slots":1e999}',
            text[:-1] + b',"zone":"\\ud800"}',
            text[:-1] + b',"more":' + b"[" * depth + b"]" * depth + b"}",
            text[:-1] + b',"more":' + b'{"a":' * depth + b"1" + b"}" * depth + b"}",
            b"[" * depth,
        ]
        for name in ("address", "slots", "zone", "state", "service", "born"):
            bodies.append(
                text[:-1] + b',"%s":' % name.encode() + b"[" * 900 + b"]" * 900 + b"}"
            )
        for body in bodies:
            with self.subTest(body[-40:]), self.assertRaises(InvalidAnnouncementError):
                decode_announcement("i", body, 7400)

    # It was kept as the end of an incarnation that no heartbeat could follow.
    def test_deregistration_with_an_odd_start_time_is_refused(self) -> None:
        for born in (2**64 - 1, 10**16):
            with self.subTest(born), self.assertRaises(InvalidAnnouncementError):
                decode_start_time(dumps({"born": born}))


class DirectoryTest(CaseTest):
    """A directory takes no odd entry from another process."""

    def test_odd_entry_changes_nothing(self) -> None:
        sound = evolve(ENDPOINT, born_ms=4)
        for odd in STORED:
            with self.subTest(str(odd)[:120]):
                directory = EndpointDirectory()
                directory.merge(sound, 1.0)
                self.assertFalse(directory.merge(odd, 2.0))
                self.assertEqual(directory.active(), [sound])
                self.assertTrue(directory.merge(evolve(sound, slots=2, sequence=2), 3))


class RouterTest(CaseTest):
    """A router that hears of odd entries serves its callers at the others."""

    # Requests were answered with 502, as an exception group that nobody expected
    # escaped from connecting.
    def test_requests_are_served_beside_odd_entries(self) -> None:
        announced = tuple(
            evolve(odd, endpoint_id=odd.endpoint_id + str(number))
            for number, odd in enumerate(STORED)
        )
        results = send_requests(
            b"/read/1", respond, pauses=(0.0,) * 12, announced=announced
        )
        self.assertEqual([result.status for result in results], [200] * 12)
