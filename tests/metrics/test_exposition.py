"""Scrapes of the metrics of running processes."""

from random import Random

from anyio import connect_tcp, create_task_group, current_time, fail_after, run, sleep

from pistachiolever.admission.agent import AgentProcess
from pistachiolever.admission.models import EngineReport
from pistachiolever.edge.errors import PeerError
from pistachiolever.http1.server import HttpServer
from pistachiolever.metrics.exposition import MetricsApi
from pistachiolever.metrics.instruments import GAUGES, Instruments
from tests.http1.test_server import read_all
from tests.registry.test_process import make_discarding_logger
from tests.support.addresses import free_address
from tests.support.cases import CaseTest


class SilentEngine:
    """An engine that reports nothing."""

    async def report(self) -> EngineReport:
        """Raise PeerError."""
        raise PeerError("silent", False)


async def scrape(instruments: Instruments) -> bytes:
    """Return the raw response to a scrape."""
    server = HttpServer(free_address(), MetricsApi("/m", instruments).handle)
    async with create_task_group() as group:
        group.start_soon(server.serve)
        await sleep(0.05)
        host, _, port = server.address.rpartition(":")
        with fail_after(5):
            async with await connect_tcp(host, int(port)) as stream:
                await stream.send(
                    b"GET /m HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                raw = await read_all(stream)
        group.cancel_scope.cancel()
    return raw


class ScrapeTest(CaseTest):
    """Every gauge can be read by a scrape."""

    # Gauges that read the event loop's clock made a scrape end without a response.
    def test_gauges_that_read_the_clock(self) -> None:
        async def run_scrape() -> bytes:
            instruments = Instruments()
            for gauge in GAUGES:
                instruments.gauge(gauge.name, current_time)
            return await scrape(instruments)

        raw = run(run_scrape)
        self.assertTrue(raw.startswith(b"HTTP/1.1 200"), raw[:80])
        for gauge in GAUGES:
            self.assertIn(b"\n%s " % gauge.name.encode(), raw)

    def test_agent(self) -> None:
        async def run_scrape() -> bytes:
            events = make_discarding_logger("a")
            agent = AgentProcess(SilentEngine(), events, Random(1))
            return await scrape(agent.instruments)

        raw = run(run_scrape)
        self.assertIn(b"\npistachiolever_unread_tokens 0.0", raw)

    def test_gauge_that_fails_does_not_hide_the_others(self) -> None:
        async def run_scrape() -> bytes:
            instruments = Instruments()
            instruments.gauge("pistachiolever_leads", lambda: 1 / 0)
            instruments.gauge("pistachiolever_term", lambda: 3)
            return await scrape(instruments)

        raw = run(run_scrape)
        self.assertIn(b"\npistachiolever_term 3.0", raw)
        self.assertNotIn(b"\npistachiolever_leads", raw)
