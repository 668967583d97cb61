"""The session with one sidecar: a stream of messages and calls with commands."""

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
from pistachiolever.router.const import (
    INITIAL_RECONNECT_DELAY_SECONDS,
    MAX_RECONNECT_DELAY_SECONDS,
)
from pistachiolever.router.models import (
    CommandsFailed,
    FromSidecar,
    RouterInput,
    SidecarConnected,
    SidecarDisconnected,
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
    """Keeps a session open, reads its messages and sends commands.

    Each session has its own connection pool: a pool checks all of its connections
    on each call, which would be expensive with one pool for all endpoints.
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
        """Create the connection pool."""
        self.client = FleetClient(self.context.settings)

    async def run(self) -> None:
        """Connect, and reconnect with exponential backoff and jitter, until closed."""
        delay = INITIAL_RECONNECT_DELAY_SECONDS
        with self.scope:
            while not self.closed:
                was_connected = await self._connect_once()
                delay = INITIAL_RECONNECT_DELAY_SECONDS if was_connected else delay * 2
                delay = min(MAX_RECONNECT_DELAY_SECONDS, delay)
                await sleep(delay * self.context.rng.random())
        with CancelScope(shield=True):
            await self.client.close()

    def close(self) -> None:
        """End the session; a new one to the same endpoint may follow at once.

        The loss is reported here. If it were reported later, it would be attributed
        to the new session.
        """
        self.closed = True
        self.outbox.close()
        self.scope.cancel()
        self._report_disconnected()

    async def _connect_once(self) -> bool:
        """Run one session until it ends; return whether it was established."""
        try:
            async with create_task_group() as group:
                group.start_soon(self._send_commands)
                try:
                    await self._read_session()
                finally:
                    group.cancel_scope.cancel()
        except* (HTTPError, ProtocolError):
            pass
        return self._report_disconnected()

    def _report_disconnected(self) -> bool:
        """Report the loss of an established session; return whether there was one."""
        if not self.incarnation:
            return False
        self.incarnation = ""
        self.context.recorder.record(
            EventCode.SESSION_LOST, endpoint_id=self.entry.endpoint_id
        )
        self.post(SidecarDisconnected(self.entry.endpoint_id))
        return True

    async def _read_session(self) -> None:
        """Read batches until the sidecar closes the stream or becomes unresponsive."""
        timeout = Timeout(SESSION_TIMEOUT_SECONDS, connect=CONNECT_SECONDS)
        async with self.client.http.stream(
            "POST",
            self.client.url(self.entry.address, SESSION_PATH),
            content=encode(self.context.sender()),
            timeout=timeout,
        ) as response:
            if response.status_code != 200:
                raise ProtocolError(
                    f"the sidecar returned HTTP status {response.status_code}"
                )
            remainder = b""
            async for data in response.aiter_raw():
                lines = (remainder + data).split(b"\n")
                remainder = lines.pop()
                for line in lines:
                    self._handle_batch(decode(line, SidecarBatch))

    def _handle_batch(self, batch: SidecarBatch) -> None:
        """Handle the messages of one line."""
        self.context.observe(batch.stamp)
        for message in batch.messages:
            if isinstance(message, SidecarHello):
                self._handle_hello(message)
                continue
            self.post(FromSidecar(self.entry.endpoint_id, message))

    def _handle_hello(self, hello: SidecarHello) -> None:
        """Report the session as established if the endpoint is the expected one."""
        if hello.endpoint_id != self.entry.endpoint_id:
            raise ProtocolError(
                f"expected endpoint {self.entry.endpoint_id}, found {hello.endpoint_id}"
            )
        self.incarnation = hello.sender.incarnation
        self.context.recorder.record(
            EventCode.SESSION_UP, endpoint_id=self.entry.endpoint_id
        )
        self.post(SidecarConnected(self.entry, self.incarnation))

    async def _send_commands(self) -> None:
        """Send the commands in the outbox in batches."""
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
