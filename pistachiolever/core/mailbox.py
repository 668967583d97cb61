"""The channel by which tasks of a process talk."""

from collections import deque
from typing import Generic, TypeVar

from anyio import Event

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Messages for one reading task; writers never wait.

    Reading takes all that is there, so that a busy reader works in batches.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._items: deque[T] = deque()
        self._event = Event()
        self._closed = False

    def put(self, item: T) -> None:
        """Add a message."""
        self._items.append(item)
        self._event.set()

    def close(self) -> None:
        """Let the reader know that nothing more comes."""
        self._closed = True
        self._event.set()

    def is_closed(self) -> bool:
        """Tell whether the mailbox was closed."""
        return self._closed

    def __len__(self) -> int:
        """Return how many messages wait."""
        return len(self._items)

    async def get_all(self) -> list[T]:
        """Wait for messages and take them all; an empty list means closed."""
        await self.wait()
        return self.get_all_nowait()

    async def wait(self) -> None:
        """Wait until there is a message or the mailbox is closed."""
        while not self._items and not self._closed:
            self._event = Event()
            await self._event.wait()

    def get_all_nowait(self) -> list[T]:
        """Take all messages that are there, perhaps none."""
        items = list(self._items)
        self._items.clear()
        return items
