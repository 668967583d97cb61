"""Runs a role: signals, the settings file, metrics and limits of connections."""

from collections.abc import Callable
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM
from typing import Final, Generic, Protocol, TypeVar

from anyio import Event, create_task_group, current_time, open_signal_receiver, sleep
from attrs import define, field

from pistachiolever.core.early_signals import EarlySignals
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger, LogWriter
from pistachiolever.http1.budget import ByteBudget
from pistachiolever.http1.const import (
    LIMIT_REPORT_SECONDS,
    MAX_MONITORING_CONNECTIONS,
)
from pistachiolever.http1.server import HttpServer
from pistachiolever.metrics.exposition import LoopDelay, MetricsApi
from pistachiolever.metrics.instruments import CUT, Instruments
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.settings.errors import InvalidDocumentError

# The settings file is polled because it may change without a signal.
SETTINGS_POLL_SECONDS: Final = 1.0


class RoleSettings(Protocol):
    """Settings that all roles have."""

    @property
    def seeds(self) -> list[str]:
        """Return the seeds' addresses for internal calls."""

    @property
    def metrics_address(self) -> str:
        """Return the address of the metrics of this process."""

    @property
    def max_sockets(self) -> int:
        """Return the descriptors that the process has for sockets."""

    @property
    def max_held_bytes(self) -> int:
        """Return the bytes that the process may hold for its clients."""


S = TypeVar("S", bound=RoleSettings)


@define
class RoleContext(Generic[S]):
    """What every role uses: settings, log, metrics and the stop event."""

    path: Path
    read_settings: Callable[[Path], S]
    settings: S
    output: LogWriter
    early_signals: EarlySignals = field(factory=EarlySignals)
    stop: Event = field(factory=Event)
    instruments: Instruments = field(factory=Instruments)
    budget: ByteBudget = field(init=False)
    _cut_recorded_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Create the budget, which all servers of the process share."""
        self.budget = ByteBudget(self.settings.max_held_bytes, self.record_cut)

    @property
    def events(self) -> EventLogger:
        """Return the event log of the process."""
        return self.output.logger

    def max_connections(self, fraction: float) -> int:
        """Return a part of the sockets that the process may have."""
        return int(fraction * self.settings.max_sockets)

    def record_limit(self, reason: str, connections: int) -> None:
        """Record that callers wait to be accepted."""
        self.events.record(
            EventCode.CONNECTIONS_LIMITED, reason=reason, connections=connections
        )

    def record_cut(self, reason: str) -> None:
        """Count a client that lost its request; record one at most once a second."""
        self.instruments.count(CUT, reason)
        now = current_time()
        if now - self._cut_recorded_at >= LIMIT_REPORT_SECONDS:
            self._cut_recorded_at = now
            self.events.record(
                EventCode.CLIENTS_CUT, reason=reason, held=self.budget.held_bytes
            )

    def record_disk_failure(self, error: OSError) -> None:
        """Record that the data folder can't be opened yet."""
        self.events.record(EventCode.DISK_FAILED, error=str(error))

    def choose_members(self, node_id: str, failure_domain: str) -> MemberChoice:
        """Return the choice among the members of the registry for a process."""
        return MemberChoice(node_id, failure_domain, lambda: self.settings.seeds)

    async def serve_metrics(self, path: str) -> None:
        """Serve the metrics of the process."""
        delay = LoopDelay()
        self.instruments.gauge(
            "pistachiolever_loop_delay_seconds", lambda: delay.seconds
        )
        api = MetricsApi(path, self.instruments)
        async with create_task_group() as group:
            group.start_soon(delay.run)
            server = HttpServer(
                self.settings.metrics_address,
                api.handle,
                max_connections=MAX_MONITORING_CONNECTIONS,
                budget=self.budget,
            )
            group.start_soon(server.serve)

    async def watch_signals(self) -> None:
        """Stop on SIGTERM or SIGINT; reload the settings on SIGHUP."""
        with open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
            if self.early_signals.asks_to_stop():
                self.stop.set()
            async for number in signals:
                if number == SIGHUP:
                    self.reload()
                    continue
                self.stop.set()

    async def watch_settings(self) -> None:
        """Reload the settings file at regular intervals."""
        while True:
            await sleep(SETTINGS_POLL_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Reload the settings file; keep the old settings if it cannot be read."""
        try:
            settings = self.read_settings(self.path)
        except InvalidDocumentError as error:
            self.events.record(EventCode.SETTINGS_CHANGED, error=str(error))
            return
        if settings != self.settings:
            self.settings = settings
            self.events.record(EventCode.SETTINGS_CHANGED, seeds=settings.seeds)
