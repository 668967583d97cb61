"""Callers get complete answers and correct verdicts when processes fail."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from hashlib import sha256
from unittest import TestCase

from httpx import ReadTimeout
from nose2.tools import params

from stand_ins.batch import answer_tokens
from tests.system.fleet import DEPOT, Fleet, FleetShape, wait_until
from tests.system.streams import StreamedAnswer, resume, send


def expected_text(prompt: str) -> str:
    """Return the answer of any stand-in engine to a prompt."""
    return "".join(answer_tokens(1, prompt, 2048))


class FailureTest(TestCase):
    """All tests share a fleet; each test repairs what it breaks."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet."""
        cls.fleet = Fleet(FleetShape(booking_seconds=0.2))
        cls.fleet.start()

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the fleet."""
        cls.fleet.stop()

    def setUp(self) -> None:
        """Wait until both routers have a session with each sidecar."""
        for number in range(2):
            self.fleet.wait_ready(f"router-{number}")

    def assert_complete(self, answer: StreamedAnswer, prompt: str) -> None:
        """Check that an answer is complete and belongs to the prompt."""
        self.assertEqual(answer.text(), expected_text(prompt))
        self.assertEqual(answer.final.get("verdict"), "RAN")
        self.assertTrue(answer.final["complete"])
        digest = sha256(answer.text().encode()).hexdigest()
        self.assertEqual(answer.final["digest"], f"sha256:{digest}")

    def test_many_callers_get_their_own_answers(self) -> None:
        prompts = [f"tokens={n % 30 + 1} question {n}" for n in range(40)]
        with ThreadPoolExecutor(20) as pool:
            answers = list(
                pool.map(
                    lambda n: send(self.fleet, f"router-{n % 2}", prompts[n]),
                    range(40),
                )
            )
        for answer, prompt in zip(answers, prompts, strict=True):
            self.assert_complete(answer, prompt)

    @params(
        ("cut", 3, "endpoint-cut"),
        ("garbage", 3, "endpoint-garbled"),
        ("stall", 3, "endpoint-stalled"),
    )
    def test_engine_fails_in_mid_stream(
        self, kind: str, after: int, reason: str
    ) -> None:
        for number in range(2):
            self.fleet.set_fault(f"stand-in-engine-{number}", kind, after)
        answer = send(self.fleet, "router-0", f"tokens=20 {kind}")
        self.assertEqual(len(answer.chunks), after)
        self.assertEqual(answer.final["verdict"], "MAY_HAVE_RUN")
        self.assertFalse(answer.final["complete"])
        self.assertEqual(answer.final["reason"], reason)
        for number in range(2):
            self.fleet.set_fault(f"stand-in-engine-{number}", "none")

    def test_overloaded_engine_is_retried_elsewhere(self) -> None:
        self.fleet.set_fault("stand-in-engine-0", "overload", calls=1)
        self.fleet.set_fault("stand-in-engine-1", "overload", calls=1)
        prompt = "tokens=5 retried"
        self.assert_complete(send(self.fleet, "router-0", prompt), prompt)
        for number in range(2):
            self.fleet.set_fault(f"stand-in-engine-{number}", "none")

    def test_router_killed_and_stream_resumed_through_another(self) -> None:
        prompt = "tokens=150 long plan"
        with ThreadPoolExecutor(1) as pool:
            running = pool.submit(send, self.fleet, "router-0", prompt)
            time.sleep(0.6)
            self.fleet.kill("router-0")
            answer = running.result()
        self.assertTrue(answer.disconnected)
        self.assertFalse(answer.final)
        self.assertGreater(len(answer.chunks), 0)
        answer = resume(self.fleet, "router-1", answer)
        self.assert_complete(answer, prompt)
        self.fleet.restart("router-0")

    def test_caller_disconnects_and_resumes(self) -> None:
        prompt = "tokens=60 left early"
        answer = send(self.fleet, "router-0", prompt, stop_after=5)
        answer = resume(self.fleet, "router-0", answer)
        self.assert_complete(answer, prompt)

    def test_another_account_cannot_resume(self) -> None:
        answer = send(self.fleet, "router-0", "tokens=10 secret")
        stolen = StreamedAnswer(request_id=answer.request_id)
        resume(self.fleet, "router-1", stolen, DEPOT)
        self.assertEqual(stolen.status, 404)
        self.assertEqual(stolen.chunks, [])

    def test_drain_interrupts_no_stream(self) -> None:
        prompt = "tokens=100 while draining"
        with ThreadPoolExecutor(1) as pool:
            running = pool.submit(send, self.fleet, "router-0", prompt)
            time.sleep(0.3)
            self.fleet.signal("router-0", signal.SIGTERM)
            time.sleep(0.3)
            ready = self.fleet.http.get(self.fleet.url("router-0", "/ready"))
            self.assertEqual(ready.status_code, 503)
            refused = self.fleet.submit("router-0", "planning", "tokens=3 late")
            self.assertEqual(refused.status_code, 503)
            self.assertEqual(refused.json()["verdict"], "NOT_RUN")
            self.assertIn("retry-after", refused.headers)
            self.assert_complete(running.result(), prompt)
        process = self.fleet.process_by_name["router-0"]
        self.assertEqual(process.wait(10), 0)
        self.fleet.restart("router-0")

    def test_paused_engine_gets_no_requests(self) -> None:
        for number in range(2):
            self.fleet.set_fault(f"stand-in-engine-{number}", "pause", calls=1)
        for number in range(4):
            started_at = time.monotonic()
            answer = send(self.fleet, "router-0", f"tokens=5 paused {number}")
            self.assert_complete(answer, f"tokens=5 paused {number}")
            self.assertLess(time.monotonic() - started_at, 5.0)

    def test_sidecar_ends_with_an_engine_that_says_it_is_leaving(self) -> None:
        self.fleet.set_fault("stand-in-engine-0", "leaving", calls=1)
        process = self.fleet.process_by_name["sidecar-engine-0"]
        for number in range(40):
            prompt = f"tokens=3 last {number}"
            self.assert_complete(send(self.fleet, "router-0", prompt), prompt)
            if process.poll() is not None:
                break
        self.assertEqual(process.wait(10), 0)
        self.fleet.restart("sidecar-engine-0")

    def test_leaving_endpoint_finishes_and_gets_no_new_requests(self) -> None:
        prompts = [f"tokens=80 leaving {n}" for n in range(4)]
        with ThreadPoolExecutor(4) as pool:
            running = [pool.submit(send, self.fleet, "router-0", p) for p in prompts]
            time.sleep(0.3)
            self.fleet.signal("sidecar-engine-0", signal.SIGTERM)
            time.sleep(0.2)
            stats = self.fleet.url("stand-in-engine-0", "/stats")
            before = self.fleet.http.get(stats).json()["runs_by_prompt"]
            later = [f"tokens=4 later {n}" for n in range(6)]
            for prompt in later:
                self.assert_complete(send(self.fleet, "router-1", prompt), prompt)
            after = self.fleet.http.get(stats).json()["runs_by_prompt"]
            self.assertEqual(before, after)
            for prompt, answer in zip(prompts, running, strict=True):
                self.assert_complete(answer.result(), prompt)
        self.fleet.process_by_name["sidecar-engine-0"].wait(10)
        self.fleet.restart("sidecar-engine-0")

    def test_retry_with_the_same_key_runs_once(self) -> None:
        text = "release 1"

        def book(router: str) -> tuple[int, str]:
            """Send the booking; return its status and verdict."""
            response = self.fleet.submit(
                router, "booking", text, idempotency_key="release-1"
            )
            return response.status_code, response.json()["verdict"]

        # Whether the second request comes while the first one runs must not depend on
        # the speed of the machine: before, or after its end, other answers are true.
        self.fleet.set_fault("stand-in-desk-0", "slow")
        with ThreadPoolExecutor(3) as pool:
            first = pool.submit(book, "router-0")
            wait_until(lambda: text in self.fleet.executions(), "the first run")
            during = pool.submit(book, "router-1")
            self.assertEqual(during.result(), (409, "MAY_HAVE_RUN"))
            self.assertEqual(first.result(), (200, "RAN"))
        wait_until(lambda: book("router-1") == (200, "RAN"), "the stored outcome")
        self.assertEqual(self.fleet.executions()[text], 1)

    def test_key_with_another_input_is_refused(self) -> None:
        self.fleet.submit("router-0", "booking", "first", idempotency_key="twice")
        other = self.fleet.submit(
            "router-0", "booking", "second", idempotency_key="twice"
        )
        self.assertEqual(other.status_code, 409)
        self.assertEqual(other.json()["verdict"], "NOT_RUN")
        self.assertNotIn("second", self.fleet.executions())

    def test_desk_that_refuses_releases_the_key(self) -> None:
        self.fleet.set_fault("stand-in-desk-0", "overload", calls=20)
        refused = self.fleet.submit(
            "router-0", "booking", "refused", idempotency_key="refused"
        )
        self.assertEqual(refused.json()["verdict"], "NOT_RUN")
        self.fleet.set_fault("stand-in-desk-0", "none")
        self.assertNotIn("refused", self.fleet.executions())

        def booked() -> bool:
            """Return whether the retry ran."""
            response = self.fleet.submit(
                "router-0", "booking", "refused", idempotency_key="refused"
            )
            return response.status_code == 200

        wait_until(booked, "the released key to be usable")
        self.assertEqual(self.fleet.executions()["refused"], 1)

    @params(("cut", "endpoint-cut"), ("stall", "endpoint-stalled"))
    def test_desk_run_without_known_outcome_is_not_repeated(
        self, kind: str, reason: str
    ) -> None:
        """The desk books, but the response is cut off or never comes."""
        self.fleet.set_fault("stand-in-desk-0", kind)
        key = f"hidden-{kind}"
        first = self.fleet.submit("router-0", "booking", key, idempotency_key=key)
        self.assertEqual(first.json()["verdict"], "MAY_HAVE_RUN")
        again = self.fleet.submit("router-1", "booking", key, idempotency_key=key)
        self.assertEqual(again.json()["verdict"], "MAY_HAVE_RUN")
        self.assertEqual(again.json()["reason"], reason)
        self.assertEqual(self.fleet.executions()[key], 1)

    def test_sidecar_killed_during_a_booking(self) -> None:
        # The booking must be running then, however slow the machine is.
        self.fleet.set_fault("stand-in-desk-0", "slow")
        with ThreadPoolExecutor(1) as pool:
            running = pool.submit(
                self.fleet.submit,
                "router-0",
                "booking",
                "killed",
                idempotency_key="killed",
            )
            wait_until(lambda: "killed" in self.fleet.executions(), "the booking")
            self.fleet.kill("sidecar-desk-0")
            self.fleet.restart("sidecar-desk-0")
            first = running.result()
        self.assertEqual(first.json()["verdict"], "MAY_HAVE_RUN")
        self.fleet.wait_ready("router-0")
        again = self.fleet.submit(
            "router-0", "booking", "killed", idempotency_key="killed"
        )
        self.assertEqual(again.json()["verdict"], "MAY_HAVE_RUN")
        self.assertEqual(self.fleet.executions()["killed"], 1)

    def test_control_unreachable(self) -> None:
        self.fleet.kill("control-0")
        prompt = "tokens=5 without control"
        self.assert_complete(send(self.fleet, "router-0", prompt), prompt)
        refused = self.fleet.submit(
            "router-0", "booking", "no ledger", idempotency_key="no-ledger"
        )
        self.assertEqual(refused.status_code, 503)
        self.assertEqual(refused.json()["verdict"], "NOT_RUN")
        self.assertNotIn("no ledger", self.fleet.executions())
        self.fleet.restart("control-0")

        def booked() -> bool:
            """Return whether a retry with the same key ran."""
            try:
                response = self.fleet.submit(
                    "router-0", "booking", "no ledger", idempotency_key="no-ledger"
                )
            except ReadTimeout:
                return False
            return response.status_code == 200

        wait_until(booked, "control to accept claims again")
        self.assertEqual(self.fleet.executions()["no ledger"], 1)
