"""A background task that can be ended before or after it starts."""

from collections.abc import Awaitable, Callable

from anyio import CancelScope
from attrs import define


@define(eq=False)
class BackgroundTask:
    """Runs a function until it is closed; can be created without an event loop."""

    closed: bool = False
    _scope: CancelScope | None = None

    async def run(self, function: Callable[[], Awaitable[None]]) -> None:
        """Run the function, unless the task was closed before."""
        if self.closed:
            return
        with CancelScope() as self._scope:
            await function()

    def close(self) -> None:
        """End the function."""
        self.closed = True
        if self._scope is not None:
            self._scope.cancel()
