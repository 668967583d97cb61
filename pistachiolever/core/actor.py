"""Runs a core, a state machine without I/O, in a task that owns its state."""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from anyio import sleep
from attrs import define, field

from pistachiolever.core.mailbox import Mailbox

InputT = TypeVar("InputT")
ActionT = TypeVar("ActionT")
InputT_contra = TypeVar("InputT_contra", contravariant=True)


class Core(Protocol[InputT_contra, ActionT]):
    """A state machine without I/O, such as `RouterCore`."""

    def handle(self, message: InputT_contra, now: float) -> list[ActionT]:
        """Handle a message at time `now` in seconds; return the actions in order."""


@define
class Actor(Generic[InputT, ActionT]):
    """Passes messages to a core one by one and performs its actions."""

    core: "Core[InputT, ActionT]"
    perform: Callable[[ActionT], None]
    now: Callable[[], float]
    inbox: Mailbox[InputT] = field(factory=Mailbox)

    def post(self, message: InputT) -> None:
        """Add a message to the inbox."""
        self.inbox.put(message)

    async def run(self) -> None:
        """Handle messages until the inbox is closed."""
        while messages := await self.inbox.get_all():
            for message in messages:
                for action in self.core.handle(message, self.now()):
                    self.perform(action)

    async def tick(self, message: InputT, seconds: float) -> None:
        """Post a message every `seconds` until the inbox is closed."""
        while not self.inbox.is_closed():
            self.inbox.put(message)
            await sleep(seconds)
