"""Keeps signals that come before the event loop handles them.

This module imports nothing slow: it is used before the other modules are imported.
"""

from signal import SIGHUP, SIGINT, SIGTERM, signal


class EarlySignals:
    """Records signals whose default action would end a process that is starting."""

    def __init__(self) -> None:
        """Start with no signal received."""
        self.received: set[int] = set()

    def install(self) -> None:
        """Record SIGHUP, SIGINT and SIGTERM from now on."""
        for number in (SIGHUP, SIGINT, SIGTERM):
            signal(number, self._record)

    def asks_to_stop(self) -> bool:
        """Return whether the process was asked to stop."""
        return bool(self.received & {SIGINT, SIGTERM})

    def _record(self, number: int, _frame: object) -> None:
        """Record one signal."""
        self.received.add(number)
