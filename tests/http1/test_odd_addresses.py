"""Connecting to an address that names no endpoint fails like any other connection."""

from anyio import run

from pistachiolever.http1.client import open_connection
from pistachiolever.http1.errors import PeerClosedError
from tests.support.cases import CaseTest

ODD_ADDRESSES = (
    "10.0.0.9:70000",
    "10.0.0.9:0",
    "10.0.0.9:-1",
    "10.0.0.9:²",
    "10.0.0.9:８０",
    "10.0.0.9:" + "9" * 5000,
    "10.0.0.9:" + "0" * 5000 + "80",
    "10.0.0.9: 80",
    "10.0.0\x00.9:80",
    "a" * 300 + ":80",
    ".".join(["abc"] * 80) + ":80",
    "[::1]:80",
    "10.0.0.9 :80",
    "0.0.0.0:80",
    "http://10.0.0.9:80",
    ":80",
    "a..b:80",
)


class OddAddressTest(CaseTest):
    """The caller gets the error that it expects, before anything is sent."""

    # uvloop connected to port 4464 in place of 70000; without it an exception group
    # escaped.
    def test_connecting_to_an_odd_address_fails(self) -> None:
        for use_uvloop in (False, True):
            for address in ODD_ADDRESSES:
                with (
                    self.subTest(address=address[:40], use_uvloop=use_uvloop),
                    self.assertRaises(PeerClosedError) as caught,
                ):
                    run(
                        open_connection,
                        address,
                        0.5,
                        backend_options={"use_uvloop": use_uvloop},
                    )
                self.assertFalse(caught.exception.sent)
