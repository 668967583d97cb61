"""An event loop whose clock is the processor time of the code that runs on it.

A process on it is as short of time as on a slow VM, however busy the machine is. Its
peers are played between two turns of the loop and take no time.
"""

from asyncio import SelectorEventLoop
from collections.abc import Awaitable, Callable
from contextlib import suppress
from heapq import heappop, heappush
from math import inf
from selectors import EVENT_READ, DefaultSelector, SelectorKey
from socket import IPPROTO_TCP, TCP_NODELAY, socket
from time import monotonic, thread_time
from typing import TypeVar

from anyio import run
from attrs import define, field

P = TypeVar("P")
T = TypeVar("T")

# Pause of the real clock while nothing but a thread can make the loop go on.
THREAD_WAIT_SECONDS = 0.01
READ_BYTES = 65_536


@define(eq=False, repr=False)
class Peers:
    """Plays the peers of a process: actions that are due, input on their sockets."""

    now: float = 0.0
    _due: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _count: int = 0
    _selector: DefaultSelector = field(factory=DefaultSelector)

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        self._count += 1
        heappush(self._due, (time, self._count, action))

    def watch(self, watched: socket, action: Callable[[], None]) -> None:
        """Do something whenever a socket can be read."""
        watched.setblocking(False)
        self._selector.register(watched, EVENT_READ, action)

    def forget(self, watched: socket) -> None:
        """Watch a socket no longer."""
        with suppress(KeyError):
            self._selector.unregister(watched)

    def close(self, watched: socket) -> None:
        """Close a socket."""
        self.forget(watched)
        watched.close()

    def close_all(self) -> None:
        """Close all sockets."""
        for key in list(self._selector.get_map().values()):
            if isinstance(key.fileobj, socket):
                self.close(key.fileobj)

    def next_at(self) -> float:
        """Return when the next action is due."""
        return self._due[0][0] if self._due else inf

    def play(self, now: float) -> None:
        """Do what is due, and handle all input."""
        self.now = now
        while self._play_due() or self._handle_input():
            pass

    def _play_due(self) -> bool:
        """Do what is due; return whether there was something."""
        played = False
        while self.next_at() <= self.now:
            heappop(self._due)[2]()
            played = True
        return played

    def _handle_input(self) -> bool:
        """Handle the input that has arrived; return whether there was some."""
        ready = self._selector.select(0) if self._selector.get_map() else []
        for key, _ in ready:
            key.data()
        return bool(ready)


def receive(connection: socket) -> bytes | None:
    """Return what has arrived on a connection; None if it has ended."""
    try:
        return connection.recv(READ_BYTES) or None
    except BlockingIOError:
        return b""
    except OSError:
        return None


def listen(peers: Peers, handle: Callable[[socket], None]) -> str:
    """Accept connections on a new address, which is returned."""
    listener = socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1024)

    def accept() -> None:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return
        connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        handle(connection)

    peers.watch(listener, accept)
    return f"127.0.0.1:{listener.getsockname()[1]}"


class ProcessorTimeSelector(DefaultSelector):
    """Plays the peers whenever the loop would wait; skips the time of waiting.

    One second of the processor lasts `slowdown` seconds of the clock. Until `start` the
    clock is the real one.
    """

    def __init__(self, peers: Peers) -> None:
        """Use the real clock for now."""
        super().__init__()
        self.peers = peers
        self.slowdown = 0.0
        self.used_seconds = 0.0
        self._clock = 0.0
        self._left_at = 0.0

    def start(self, slowdown: float) -> None:
        """Let processor time move the clock from now on."""
        self._clock, self._left_at = monotonic(), thread_time()
        self.slowdown = slowdown

    def now(self) -> float:
        """Return the time of the clock."""
        if not self.slowdown:
            return monotonic()
        return self._clock + (thread_time() - self._left_at) * self.slowdown

    def skip(self, seconds: float) -> None:
        """Let time pass in which no code runs on the loop."""
        self._clock += seconds

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return what is ready within some time of the clock."""
        if not self.slowdown:
            return super().select(timeout)
        self.used_seconds += thread_time() - self._left_at
        self._clock = self.now()
        ends_at = inf if timeout is None else self._clock + max(0.0, timeout)
        ready = self._wait(ends_at)
        self._left_at = thread_time()
        return ready

    def _wait(self, ends_at: float) -> list[tuple[SelectorKey, int]]:
        """Play the peers until something is ready or the time has come."""
        while True:
            self.peers.play(self._clock)
            ready = super().select(0)
            if ready or self._clock >= ends_at:
                return ready
            next_at = min(ends_at, self.peers.next_at())
            if next_at == inf:
                return super().select(THREAD_WAIT_SECONDS)
            self._clock = max(self._clock, next_at)


class ProcessorTimeLoop(SelectorEventLoop):
    """An event loop with the clock of its selector."""

    def __init__(self, selector: ProcessorTimeSelector) -> None:
        """Use the clock of a selector."""
        self.now = selector.now
        super().__init__(selector)

    def time(self) -> float:
        """Return the time of the clock."""
        return self.now()


def run_on_processor_time(
    selector: ProcessorTimeSelector,
    main: Callable[[P], Awaitable[T]],
    argument: P,
) -> T:
    """Run a coroutine function on such a loop; close the sockets of its peers."""
    try:
        return run(
            main,
            argument,
            backend_options={"loop_factory": lambda: ProcessorTimeLoop(selector)},
        )
    finally:
        selector.peers.close_all()
