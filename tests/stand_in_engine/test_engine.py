"""Injected faults of the stand-in engine, as a client sees them."""

from anyio import create_task_group, fail_after, run
from httpx import ASGITransport, AsyncClient
from nose2.tools import params
from orjson import loads

from stand_ins.batch import EngineSettings
from stand_ins.engine import Engine
from stand_ins.faults import FaultKind
from tests.support.cases import CaseTest

TOKENS = 4


async def _complete(kind: FaultKind, after: int) -> list[str]:
    """Return the lines of one completion with a fault."""
    engine = Engine(EngineSettings(step_seconds=0.001))
    engine.faults.set(kind, after)
    transport = ASGITransport(app=engine.app())
    with fail_after(5):
        async with (
            create_task_group() as group,
            AsyncClient(transport=transport, base_url="http://engine") as http,
        ):
            group.start_soon(engine.run)
            response = await http.post(
                "/v1/completions",
                json={"prompt": f"tokens={TOKENS} x", "max_tokens": TOKENS},
            )
            group.cancel_scope.cancel()
    return [line for line in response.text.split("\n") if line]


def texts(lines: list[str]) -> list[str]:
    """Return the tokens of a completion."""
    documents = [
        loads(line.removeprefix("data: "))
        for line in lines
        if line.startswith("data: {")
    ]
    return [d["choices"][0]["text"] for d in documents if d["choices"]]


class StreamFaultTest(CaseTest):
    """What faults do to the tokens of a stream."""

    # The fault DUPLICATE sent comments, and no token twice.
    @params(0, 2)
    def test_duplicate_sends_tokens_twice(self, after: int) -> None:
        plain = texts(run(_complete, FaultKind.NONE, 0))
        self.assertEqual(len(plain), TOKENS)
        doubled = [token for token in plain[after:] for _ in range(2)]
        lines = run(_complete, FaultKind.DUPLICATE, after)
        self.assertEqual(texts(lines), plain[:after] + doubled)
        self.assertEqual(lines[-1], "data: [DONE]")

    def test_keep_alive_sends_comments(self) -> None:
        lines = run(_complete, FaultKind("keep-alive"), 1)
        self.assertEqual(lines.count(": keep-alive"), TOKENS - 1)
        self.assertEqual(texts(lines), texts(run(_complete, FaultKind.NONE, 0)))
