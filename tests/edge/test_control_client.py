"""Calls to control processes that do not always answer."""

from contextlib import suppress
from random import Random
from typing import Any

from anyio import run
from attrs import define, field

from pistachiolever.core.clock import wall_ms
from pistachiolever.edge.client import FleetClient
from pistachiolever.edge.context import ProcessContext
from pistachiolever.edge.control_client import ControlClient
from pistachiolever.edge.errors import PeerError
from pistachiolever.events.const import EventCode
from pistachiolever.events.recorder import EventRecorder
from pistachiolever.metrics.client import make_metrics
from pistachiolever.settings.models import ProcessSettings, StatsdSettings
from tests.support.cases import CaseTest

SETTINGS = ProcessSettings("router", "127.0.0.1:1", "north", "s", ["c1:1", "c2:1"])


@define
class ScriptedClient(FleetClient):
    """Answers, or does not, as `answers` tells for each address."""

    answers: dict[str, bool] = field(factory=dict)

    async def call(self, *args: Any) -> Any:
        """Return a reply, or raise if the process does not answer."""
        if not self.answers[args[0]]:
            raise PeerError(f"{args[0]} did not answer", False)
        return "reply"


class ReachabilityTest(CaseTest):
    """Events tell when control stops answering and when it answers again."""

    # The log of a process told that control was unreachable, but never that it was
    # reachable again.
    def test_each_change_is_an_event(self) -> None:
        context = ProcessContext(
            SETTINGS,
            Random(1),
            "i",
            EventRecorder("router", wall_ms),
            make_metrics(StatsdSettings(), "router"),
        )
        client = ScriptedClient(SETTINGS)
        control = ControlClient(context, client)
        unreachable, found = EventCode.CONTROL_UNREACHABLE, EventCode.CONTROL_FOUND
        steps: list[tuple[bool, bool, list[EventCode]]] = [
            (True, True, []),
            (False, True, []),
            (False, False, [unreachable]),
            (False, False, []),
            (False, True, [found]),
            (True, True, []),
            (False, False, [unreachable]),
            (True, False, [found]),
        ]

        async def call() -> None:
            with suppress(PeerError):
                await control.call("/path", "message", str)

        for first, second, expected in steps:
            client.answers = {"c1:1": first, "c2:1": second}
            known = context.recorder.sequence
            run(call)
            events = context.recorder.after(known)
            self.assertEqual([event.code for event in events], expected)
