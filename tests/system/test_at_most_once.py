"""Bookings while processes are killed at random moments: none runs twice."""

import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from random import Random
from threading import Event
from unittest import TestCase

from httpx import Client, HTTPError

from tests.system.fleet import HALDIA, Fleet, FleetShape

BOOKINGS = 36
VICTIMS = ("router-0", "sidecar-desk-0", "control-0", "sidecar-desk-1")
SEED = 20261203


def book(fleet: Fleet, number: int) -> list[str]:
    """Send one booking until it is known to have run; return the verdicts."""
    verdicts: list[str] = []
    with Client(trust_env=False, timeout=5.0) as http:
        for attempt in range(12):
            router = f"router-{(number + attempt) % 2}"
            try:
                response = http.post(
                    fleet.url(router, "/v1/requests"),
                    json={
                        "service": "booking",
                        "input": f"booking {number}",
                        "stream": False,
                    },
                    headers={
                        "authorization": f"Bearer {HALDIA}",
                        "idempotency-key": f"key-{number}",
                    },
                )
                verdicts.append(response.json()["verdict"])
            except (HTTPError, ValueError):
                verdicts.append("BROKEN")
            if verdicts[-1] == "RAN":
                break
            time.sleep(0.3)
    return verdicts


def kill_at_random(fleet: Fleet, rng: Random, stop: Event) -> int:
    """Kill and restart processes until told to stop; return how many."""
    kills = 0
    while not stop.wait(rng.uniform(0.05, 0.5)):
        victim = rng.choice(VICTIMS)
        fleet.kill(victim)
        time.sleep(rng.uniform(0.0, 0.5))
        fleet.restart(victim)
        kills += 1
    return kills


class AtMostOnceTest(TestCase):
    """The desks count what they ran."""

    def setUp(self) -> None:
        """Start a fleet with two desks."""
        shape = FleetShape(engines=0, desks=2, desk_seconds=0.4)
        self.fleet = Fleet(shape)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def executions(self) -> dict[str, int]:
        """Return how often each booking ran, over both desks."""
        total: dict[str, int] = {}
        for number in range(2):
            counted = self.fleet.executions(f"stand-in-desk-{number}")
            for text, count in counted.items():
                total[text] = total.get(text, 0) + count
        return total

    def test_no_booking_runs_twice(self) -> None:
        stop = Event()
        work = partial(book, self.fleet)
        with ThreadPoolExecutor(7) as pool:
            killer = pool.submit(kill_at_random, self.fleet, Random(SEED), stop)
            verdicts = list(pool.map(work, range(BOOKINGS)))
            stop.set()
            self.assertGreater(killer.result(), 3)
        executions = self.executions()
        for number, seen in enumerate(verdicts):
            count = executions.get(f"booking {number}", 0)
            self.assertLessEqual(count, 1, (number, seen))
            if "RAN" in seen:
                self.assertEqual(count, 1, (number, seen))
