"""Routes match by host and longest prefix; traffic splits are stable."""

from random import Random

from attrs import evolve
from nose2.tools import params

from pistachiolever.routing.check import check_configuration
from pistachiolever.routing.errors import InvalidConfigurationError
from pistachiolever.routing.models import (
    ProxyAccount,
    ProxyConfiguration,
    ProxyRoute,
    ProxyService,
    RequestKind,
    WeightedService,
)
from pistachiolever.routing.table import RouteTable, host_name
from tests.support.cases import CaseTest


def route(name: str, host: str, prefix: str, service: str = "s") -> ProxyRoute:
    """Return a route to one service."""
    services = [WeightedService(service, 1.0)]
    return ProxyRoute(name, host, prefix, RequestKind.IDEMPOTENT, services, 2.0, 0.3)


def naive_match(routes: list[ProxyRoute], host: str, path: str) -> str | None:
    """Return the id of the matching route by a search through all routes."""
    found = [r for r in routes if r.host == host and path.startswith(r.prefix)]
    best = max(found, key=lambda r: len(r.prefix), default=None)
    return best.route_id if best else None


class MatchTest(CaseTest):
    """The index finds the same route as a search through all routes."""

    def test_index_agrees_with_naive_search(self) -> None:
        rng = Random(3)
        names = ["/", "/a/", "/a/b/", "/a/b/c/", "/ab/", "/b/", "/b/a/", "/a/a/a/"]
        for _ in range(200):
            routes = [
                route(f"{host}{prefix}", host, prefix)
                for host in ("x.example", "y.example")
                for prefix in rng.sample(names, 4)
            ]
            table = RouteTable(ProxyConfiguration(1, routes, [ProxyService("s")]))
            for _ in range(30):
                host = rng.choice(["x.example", "y.example", "z.example"])
                path = "/" + "/".join(rng.choices(["a", "b", "c", "ab", ""], k=4))
                found = table.match(host, path)
                expected = naive_match(routes, host, path)
                self.assertEqual(found.route_id if found else None, expected)

    def test_host_names(self) -> None:
        cases = {
            b"x.example": "x.example",
            b"X.Example:8080": "x.example",
            b" x.example ": "x.example",
            b"x.example:y": "x.example:y",
        }
        for value, expected in cases.items():
            with self.subTest(value):
                self.assertEqual(host_name(value), expected)


class SplitTest(CaseTest):
    """A request always gets the same service; services get traffic by weight."""

    def test_split_is_stable_and_follows_weights(self) -> None:
        split = evolve(
            route("r", "x", "/"),
            services=[WeightedService("a", 90), WeightedService("b", 10)],
        )
        chosen = [split.service_for(f"request-{n}") for n in range(5000)]
        again = [split.service_for(f"request-{n}") for n in range(5000)]
        self.assertEqual(chosen, again)
        self.assertAlmostEqual(chosen.count("b") / 5000, 0.1, delta=0.02)


class CheckTest(CaseTest):
    """Each validation error names the invalid field."""

    def test_invalid_configurations(self) -> None:
        good = ProxyConfiguration(
            3,
            [route("r", "x", "/a/")],
            [ProxyService("s")],
            [ProxyAccount("one", ["k1", "k2"]), ProxyAccount("two", ["k3"])],
        )
        check_configuration(good)
        first = good.routes[0]
        weightless = [WeightedService("s", 0.0)]
        cases = {
            "routes[1]": evolve(good, routes=[first, route("q", "x", "/a/")]),
            "routes[0]": evolve(good, routes=[route("r", "x", "/a/", "unknown")]),
            "keys": evolve(
                good, accounts=[ProxyAccount("one", ["k"]), ProxyAccount("two", ["k"])]
            ),
            "accounts": evolve(good, accounts=[ProxyAccount("a"), ProxyAccount("a")]),
            "services": evolve(good, services=[ProxyService("s"), ProxyService("s")]),
            "version": evolve(good, version=-1),
        }
        for changed in (
            evolve(first, services=weightless),
            evolve(first, services=[]),
            evolve(first, timeout_seconds=0),
            evolve(first, prefix="/a"),
            evolve(first, attempts=0),
            evolve(first, services=[*weightless, WeightedService("s", -1.0)]),
        ):
            cases[f"routes[0] {changed}"] = evolve(good, routes=[changed])
        for path, configuration in cases.items():
            with self.subTest(path):
                with self.assertRaises(InvalidConfigurationError) as caught:
                    check_configuration(configuration)
                self.assertEqual(caught.exception.path, path.split()[0])

    # Requests of such an account were tried again without a pause until their deadline,
    # as no endpoint could be told its name.
    @params("", " ", "a ", " a", "a\nb", "a\rb", "a\x00b", "a\r\nx: y")
    def test_account_name_that_fits_no_header(self, name: str) -> None:
        accounts = [ProxyAccount("one"), ProxyAccount(name)]
        configuration = ProxyConfiguration(1, [], [ProxyService("s")], accounts)
        with self.assertRaises(InvalidConfigurationError) as caught:
            check_configuration(configuration)
        self.assertEqual(caught.exception.path, "accounts[1]")

    @params("a", "a b", "a\tb", "cafe", "caf\u00e9", "0", "a:b,c")
    def test_account_name_that_fits_a_header(self, name: str) -> None:
        accounts = [ProxyAccount(name)]
        check_configuration(ProxyConfiguration(1, [], [ProxyService("s")], accounts))
