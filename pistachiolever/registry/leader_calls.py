"""Commits commands and reads the configuration, here or at the leader."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from anyio import move_on_after, sleep
from attrs import define

from pistachiolever.control.commands import (
    Command,
    ConfigurationStored,
    StoreConfiguration,
    decode_command,
    encode_command,
)
from pistachiolever.control.consensus import (
    ConsensusNode,
    NotLeaderError,
    OutcomeUnknownError,
)
from pistachiolever.control.state import ControlState
from pistachiolever.edge.errors import CallRefusedError, PeerError
from pistachiolever.edge.peers import PeerApi, PeerClient
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.membership import address_of
from pistachiolever.registry.const import (
    COMMIT_PATH,
    LEADER_CALL_SECONDS,
    LEADER_RETRY_SECONDS,
    OPERATOR_TIMEOUT_SECONDS,
    READ_PATH,
    STORE_PATH,
)
from pistachiolever.registry.errors import UnavailableError
from pistachiolever.registry.models import (
    Accepted,
    CommitRequest,
    ReadReply,
    ReadRequest,
    StoreReply,
    StoreRequest,
)

T = TypeVar("T")


@define
class LeaderCalls:
    """Passes commands and reads to the leader, which may be this member."""

    core: RaftCore
    consensus: ConsensusNode
    state: ControlState
    client: PeerClient

    def add_to(self, api: PeerApi) -> None:
        """Add the calls that the leader answers for other members."""
        api.add(STORE_PATH, StoreRequest, self._handle_store)
        api.add(READ_PATH, ReadRequest, self._handle_read)
        api.add(COMMIT_PATH, CommitRequest, self._handle_commit)

    async def store(self, request: StoreRequest) -> StoreReply:
        """Commit a configuration; raise UnavailableError if it may not be."""
        return await self._retry(
            lambda: self._call(STORE_PATH, request, StoreReply, self._store_here),
            OPERATOR_TIMEOUT_SECONDS,
            "no leader committed the configuration in time",
        )

    async def read(self) -> ReadReply:
        """Return the newest configuration; raise UnavailableError if unconfirmed."""
        return await self._retry(
            lambda: self._call(READ_PATH, ReadRequest(), ReadReply, self._read_here),
            OPERATOR_TIMEOUT_SECONDS,
            "no quorum confirmed the newest configuration in time",
        )

    async def commit(self, command: Command, seconds: float) -> None:
        """Commit a command within a time; raise UnavailableError if it may not be."""
        request = CommitRequest(encode_command(command))
        await self._retry(
            lambda: self._call(COMMIT_PATH, request, Accepted, self._commit_here),
            seconds,
            "no leader committed the change in time",
        )

    async def _retry(
        self, attempt: Callable[[], Awaitable[T | None]], seconds: float, error: str
    ) -> T:
        """Repeat an attempt until it succeeds; raise UnavailableError after a time."""
        with move_on_after(seconds):
            while True:
                reply = await attempt()
                if reply is not None:
                    return reply
                await sleep(LEADER_RETRY_SECONDS)
        raise UnavailableError(error)

    async def _call(
        self,
        path: str,
        request: object,
        reply_type: type[T],
        handle_here: Callable[..., Awaitable[T]],
    ) -> T | None:
        """Handle a request here or at the leader; return None if that failed."""
        try:
            if self.core.is_leader:
                return await handle_here(request)
            if not self.core.leader:
                return None
            address = address_of(self.core.leader)
            return await self.client.call(
                address, path, request, reply_type, LEADER_CALL_SECONDS
            )
        except (NotLeaderError, OutcomeUnknownError, PeerError):
            return None

    async def _store_here(self, request: StoreRequest) -> StoreReply:
        """Commit a configuration as the leader."""
        command = StoreConfiguration(request.version, request.document)
        result = await self.consensus.propose(command, OPERATOR_TIMEOUT_SECONDS)
        if not isinstance(result, ConfigurationStored):
            raise OutcomeUnknownError
        return StoreReply(result.version)

    async def _commit_here(self, request: CommitRequest) -> Accepted:
        """Commit a command as the leader."""
        command = decode_command(request.command)
        if await self.consensus.propose(command, OPERATOR_TIMEOUT_SECONDS) is None:
            raise OutcomeUnknownError
        return Accepted()

    async def _read_here(self, _request: ReadRequest) -> ReadReply:
        """Return the configuration after a quorum confirmed that this member leads."""
        await self.consensus.read_barrier(LEADER_CALL_SECONDS)
        current = self.state.configuration
        return ReadReply(current.version, current.document)

    # Calls of other members.

    async def _handle_store(self, request: StoreRequest) -> StoreReply:
        """Commit a configuration on behalf of another member."""
        return await _refuse_unless_leading(self._store_here(request))

    async def _handle_commit(self, request: CommitRequest) -> Accepted:
        """Commit a command on behalf of another member."""
        return await _refuse_unless_leading(self._commit_here(request))

    async def _handle_read(self, request: ReadRequest) -> ReadReply:
        """Read the configuration on behalf of another member."""
        return await _refuse_unless_leading(self._read_here(request))


async def _refuse_unless_leading(result: Awaitable[T]) -> T:
    """Return a result; refuse the call if this member could not commit or read."""
    try:
        return await result
    except (NotLeaderError, OutcomeUnknownError) as error:
        raise CallRefusedError(409) from error
