"""Runs sans-I/O decisions: one task that owns the state and reads messages."""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from anyio import sleep
from attrs import define, field

from pistachiolever.core.mailbox import Mailbox

InputT = TypeVar("InputT")
ActionT = TypeVar("ActionT")
InputT_contra = TypeVar("InputT_contra", contravariant=True)


class Decisions(Protocol[InputT_contra, ActionT]):
    """A state machine: a message and the time in, actions out."""

    def handle(self, message: InputT_contra, now: float) -> list[ActionT]:
        """Take one message at a time in seconds; return actions in order."""


@define
class Actor(Generic[InputT, ActionT]):
    """Feeds messages to decisions one by one and performs what comes out."""

    decisions: "Decisions[InputT, ActionT]"
    perform: Callable[[ActionT], None]
    now: Callable[[], float]
    inbox: Mailbox[InputT] = field(factory=Mailbox)

    def post(self, message: InputT) -> None:
        """Leave a message for the task."""
        self.inbox.put(message)

    async def run(self) -> None:
        """Handle messages until the inbox is closed."""
        while messages := await self.inbox.get_all():
            for message in messages:
                for action in self.decisions.handle(message, self.now()):
                    self.perform(action)

    async def tick(self, message: InputT, seconds: float) -> None:
        """Post a message again and again."""
        while not self.inbox.is_closed():
            self.inbox.put(message)
            await sleep(seconds)
