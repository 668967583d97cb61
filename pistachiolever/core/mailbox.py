"""A queue between the tasks of a process."""

from collections import deque
from typing import Generic, TypeVar

from anyio import Event

T = TypeVar("T")


class Mailbox(Generic[T]):
    """An unbounded message queue for one reader; writers never block.

    Each read returns all queued messages, so that a busy reader works in batches.
    """

    def __init__(self) -> None:
        """Create an empty, open mailbox."""
        self._items: deque[T] = deque()
        self._event = Event()
        self._closed = False

    def put(self, item: T) -> None:
        """Add a message."""
        self._items.append(item)
        self._event.set()

    def close(self) -> None:
        """Signal the reader that no further messages follow."""
        self._closed = True
        self._event.set()

    def is_closed(self) -> bool:
        """Return whether the mailbox is closed."""
        return self._closed

    def __len__(self) -> int:
        """Return the number of queued messages."""
        return len(self._items)

    async def get_all(self) -> list[T]:
        """Wait for messages and return all of them; an empty list means closed."""
        await self.wait()
        return self.get_all_nowait()

    async def wait(self) -> None:
        """Wait until there is a message or the mailbox is closed."""
        while not self._items and not self._closed:
            self._event = Event()
            await self._event.wait()

    def get_all_nowait(self) -> list[T]:
        """Return all queued messages without waiting; the list may be empty."""
        items = list(self._items)
        self._items.clear()
        return items
