"""Orders of operators to evacuate failure domains."""

from urllib.parse import unquote_to_bytes

from attrs import define

from pistachiolever.control.commands import EndEvacuation, StartEvacuation
from pistachiolever.control.state import ControlState
from pistachiolever.evacuation.const import MAX_DOMAIN_CHARACTERS
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.registry.const import OPERATOR_TIMEOUT_SECONDS
from pistachiolever.registry.errors import InvalidDomainError
from pistachiolever.registry.leader_calls import LeaderCalls


@define
class EvacuationCalls:
    """Commits orders of evacuation, so that a majority of disks keeps them.

    An order that is in force is committed again, too: what this member knows may be
    older than a revocation.
    """

    leader_calls: LeaderCalls
    state: ControlState
    events: EventLogger

    async def start(self, domain: str) -> None:
        """Commit an evacuation; raise InvalidDomainError or UnavailableError."""
        await self._commit(StartEvacuation(domain), is_start=True)

    async def end(self, domain: str) -> None:
        """Commit its revocation; raise InvalidDomainError or UnavailableError."""
        await self._commit(EndEvacuation(domain), is_start=False)

    def count(self) -> int:
        """Return the number of evacuated domains."""
        return len(self.state.evacuations.domains)

    async def _commit(
        self, command: StartEvacuation | EndEvacuation, is_start: bool
    ) -> None:
        """Commit an order within the time that the operator waits."""
        domain = command.domain
        if not 0 < len(domain) <= MAX_DOMAIN_CHARACTERS:
            raise InvalidDomainError("the failure domain is empty or too long")
        self.events.record(
            EventCode.EVACUATION_ORDERED, domain=domain, evacuate=is_start
        )
        await self.leader_calls.commit(command, OPERATOR_TIMEOUT_SECONDS)
        self.events.record(
            EventCode.EVACUATION_ACKNOWLEDGED, domain=domain, evacuate=is_start
        )


def decode_domain(quoted: str) -> str:
    """Return a failure domain from the end of a path; raise InvalidDomainError."""
    try:
        return unquote_to_bytes(quoted.encode("latin-1")).decode()
    except UnicodeDecodeError as error:
        raise InvalidDomainError("the failure domain is not UTF-8") from error
