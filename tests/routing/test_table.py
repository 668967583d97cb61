"""Routes are found by host and longest prefix; splits are stable and fair."""

from random import Random

from attrs import evolve

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
    """Return a plain route."""
    services = [WeightedService(service, 1.0)]
    return ProxyRoute(name, host, prefix, RequestKind.IDEMPOTENT, services, 2.0, 0.3)


def naive_match(routes: list[ProxyRoute], host: str, path: str) -> str | None:
    """Return the route by trying all of them."""
    found = [r for r in routes if r.host == host and path.startswith(r.prefix)]
    best = max(found, key=lambda r: len(r.prefix), default=None)
    return best.route_id if best else None


class MatchTest(CaseTest):
    """The index finds what a search through all routes finds."""

    def test_agrees_with_a_naive_search(self) -> None:
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

    def test_hosts(self) -> None:
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
    """A request keeps its service; the services get their shares."""

    def test_shares(self) -> None:
        split = evolve(
            route("r", "x", "/"),
            services=[WeightedService("a", 90), WeightedService("b", 10)],
        )
        chosen = [split.service_for(f"request-{n}") for n in range(5000)]
        again = [split.service_for(f"request-{n}") for n in range(5000)]
        self.assertEqual(chosen, again)
        self.assertAlmostEqual(chosen.count("b") / 5000, 0.1, delta=0.02)


class CheckTest(CaseTest):
    """Each fault names its field."""

    def test_table(self) -> None:
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
        for where, configuration in cases.items():
            with self.subTest(where):
                with self.assertRaises(InvalidConfigurationError) as caught:
                    check_configuration(configuration)
                self.assertEqual(caught.exception.where, where.split()[0])
