"""The session with one sidecar: the task that owns its two connections."""

from collections.abc import Callable

from anyio import CancelScope, create_task_group, sleep
from attrs import define, field
from httpx import HTTPError, Timeout

from pistachiolever.core.errors import ProtocolError
from pistachiolever.core.mailbox import Mailbox
from pistachiolever.edge.client import FleetClient
from pistachiolever.edge.const import CONNECT_SECONDS, SESSION_TIMEOUT_SECONDS
from pistachiolever.edge.context import ProcessContext
from pistachiolever.edge.errors import PeerError
from pistachiolever.events.const import EventCode
from pistachiolever.router.const import RECONNECT_MOST_SECONDS, RECONNECT_SECONDS
from pistachiolever.router.models import (
    CommandsFailed,
    FromSidecar,
    RouterInput,
    SessionLost,
    SessionUp,
)
from pistachiolever.wire.codec import decode, encode
from pistachiolever.wire.const import COMMANDS_PATH, SESSION_PATH
from pistachiolever.wire.models import (
    EndpointEntry,
    RouterCommands,
    RouterMessage,
    SidecarBatch,
    SidecarHello,
)


@define
class SidecarSession:
    """Keeps a session open, reads it, and sends commands.

    It has a connection pool of its own: a pool checks all its connections for each
    call, which one pool for all endpoints would make dear.
    """

    context: ProcessContext
    entry: EndpointEntry
    post: Callable[[RouterInput], None]
    outbox: Mailbox[RouterMessage] = field(factory=Mailbox)
    incarnation: str = ""
    closed: bool = False
    scope: CancelScope = field(factory=CancelScope)
    client: FleetClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the connection pool."""
        self.client = FleetClient(self.context.settings)

    async def run(self) -> None:
        """Connect again and again, with growing random waits, until closed."""
        wait = RECONNECT_SECONDS
        with self.scope:
            while not self.closed:
                was_up = await self._connect_once()
                wait = RECONNECT_SECONDS if was_up else wait * 2
                wait = min(RECONNECT_MOST_SECONDS, wait)
                await sleep(wait * self.context.rng.random())
        with CancelScope(shield=True):
            await self.client.close()

    def close(self) -> None:
        """End the session now; a new one to the endpoint may follow at once.

        The loss is told here, since told later it would be taken for the new one's.
        """
        self.closed = True
        self.outbox.close()
        self.scope.cancel()
        self._note_lost()

    async def _connect_once(self) -> bool:
        """Hold one session; tell whether it was ever up."""
        try:
            async with create_task_group() as group:
                group.start_soon(self._send_commands)
                try:
                    await self._read_session()
                finally:
                    group.cancel_scope.cancel()
        except* (HTTPError, ProtocolError):
            pass
        return self._note_lost()

    def _note_lost(self) -> bool:
        """Tell the decisions that the session broke, if it was up."""
        if not self.incarnation:
            return False
        self.incarnation = ""
        self.context.recorder.record(
            EventCode.SESSION_LOST, endpoint_id=self.entry.endpoint_id
        )
        self.post(SessionLost(self.entry.endpoint_id))
        return True

    async def _read_session(self) -> None:
        """Read batches until the sidecar goes or falls silent."""
        timeout = Timeout(SESSION_TIMEOUT_SECONDS, connect=CONNECT_SECONDS)
        async with self.client.http.stream(
            "POST",
            self.client.url(self.entry.address, SESSION_PATH),
            content=encode(self.context.sender()),
            timeout=timeout,
        ) as response:
            if response.status_code != 200:
                raise ProtocolError(f"the sidecar answered {response.status_code}")
            rest = b""
            async for data in response.aiter_raw():
                lines = (rest + data).split(b"\n")
                rest = lines.pop()
                for line in lines:
                    self._take_batch(decode(line, SidecarBatch))

    def _take_batch(self, batch: SidecarBatch) -> None:
        """Pass the messages of one line on."""
        self.context.observe(batch.stamp)
        for message in batch.messages:
            if isinstance(message, SidecarHello):
                self._greet(message)
                continue
            self.post(FromSidecar(self.entry.endpoint_id, message))

    def _greet(self, hello: SidecarHello) -> None:
        """Begin to use the session."""
        if hello.endpoint_id != self.entry.endpoint_id:
            raise ProtocolError(f"another endpoint lives there: {hello.endpoint_id}")
        self.incarnation = hello.sender.incarnation
        self.context.recorder.record(
            EventCode.SESSION_UP, endpoint_id=self.entry.endpoint_id
        )
        self.post(SessionUp(self.entry, self.incarnation))

    async def _send_commands(self) -> None:
        """Send what the decisions leave in the outbox, in batches."""
        while messages := await self.outbox.get_all():
            commands = RouterCommands(self.context.sender(), self.incarnation, messages)
            try:
                await self.client.call(
                    self.entry.address, COMMANDS_PATH, commands, bool
                )
            except PeerError as error:
                self.post(
                    CommandsFailed(
                        self.entry.endpoint_id, messages, error.may_have_arrived
                    )
                )
