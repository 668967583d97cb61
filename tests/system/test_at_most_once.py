"""Idempotency keys prevent a second run while processes are killed at random."""

import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from random import Random
from threading import Event
from unittest import TestCase

from httpx import Client, HTTPError

from tests.system.fleet import HALDIA, Fleet, FleetShape

BOOKINGS = 36
KILLED_PROCESSES = ("router-0", "sidecar-desk-0", "control-0", "sidecar-desk-1")
SEED = 20261203


def book_until_run(fleet: Fleet, number: int) -> list[str]:
    """Send a booking with one key until it ran, up to 12 times; return the verdicts."""
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
    """Kill and restart processes until stopped; return the number of kills."""
    kills = 0
    while not stop.wait(rng.uniform(0.05, 0.5)):
        process_name = rng.choice(KILLED_PROCESSES)
        fleet.kill(process_name)
        time.sleep(rng.uniform(0.0, 0.5))
        fleet.restart(process_name)
        kills += 1
    return kills


class AtMostOnceTest(TestCase):
    """Compares the verdicts with the runs that the booking desks counted."""

    def setUp(self) -> None:
        """Start a fleet with two booking desks."""
        shape = FleetShape(engines=0, booking_desks=2, booking_seconds=0.4)
        self.fleet = Fleet(shape)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def executions(self) -> dict[str, int]:
        """Return the number of runs of each booking at both desks."""
        total: dict[str, int] = {}
        for number in range(2):
            counted = self.fleet.executions(f"stand-in-desk-{number}")
            for text, count in counted.items():
                total[text] = total.get(text, 0) + count
        return total

    def test_no_booking_runs_twice(self) -> None:
        stop = Event()
        book = partial(book_until_run, self.fleet)
        with ThreadPoolExecutor(7) as pool:
            kill_count = pool.submit(kill_at_random, self.fleet, Random(SEED), stop)
            verdicts = list(pool.map(book, range(BOOKINGS)))
            stop.set()
            self.assertGreater(kill_count.result(), 3)
        executions = self.executions()
        for number, booking_verdicts in enumerate(verdicts):
            count = executions.get(f"booking {number}", 0)
            self.assertLessEqual(count, 1, (number, booking_verdicts))
            if "RAN" in booking_verdicts:
                self.assertEqual(count, 1, (number, booking_verdicts))
