"""Decides what an overloaded gateway does with new connections, by their heads."""

from typing import TYPE_CHECKING

from attrs import define

from pistachiolever.gateway.overload import Overload

if TYPE_CHECKING:
    from pistachiolever.gateway.process import GatewayProcess


@define
class IntakeScreen:
    """Refuses new connections of accounts for which there is no processor time."""

    process: "GatewayProcess"

    def is_active(self) -> bool:
        """Return whether some requests may be refused now."""
        process = self.process
        is_shedding = process.guard.level is Overload.SHEDDING
        return is_shedding or process.intake.is_near()

    def refusal(self, head: bytes) -> bytes:
        """Return the response to a request that is refused; empty if it is taken."""
        account_id = self.process.account_of_head(head)
        is_shedding = self.process.guard.level is Overload.SHEDDING
        if not is_shedding and self.process.intake.expect(account_id):
            return b""
        return self.process.overload_response(head)


@define
class ForwardingGateway:
    """What a gateway process forwards to its siblings, and takes from them."""

    process: "GatewayProcess"

    def version(self) -> int:
        """Return the version of the configuration in force, -1 without one."""
        return self.process.version()

    def request_id_of(self, head: bytes) -> str:
        """Return the id of a request by its unparsed head, empty if it has none."""
        match = self.process.request_id_pattern.search(head)
        return match.group(1).decode("latin-1") if match else ""

    def response_seconds(self, head: bytes) -> float:
        """Return how long a response may take, by the unparsed head of its request."""
        return self.process.response_seconds_of(head)

    def may_forward(self) -> bool:
        """Return whether to forward a new connection if a sibling has time."""
        process = self.process
        if process.draining or process.guard.level is Overload.SHEDDING:
            return False
        return process.fleet.table is not None and process.intake.may_forward()

    def may_take(self, head: bytes) -> bool:
        """Return whether to take a forwarded connection, by the head of its request."""
        process = self.process
        if process.draining or process.guard.level > Overload.NONE:
            return False
        return process.intake.expect_forwarded(process.account_of_head(head))

    def refuse(self, head: bytes) -> bytes:
        """Return the response to a request for which no router has time."""
        return self.process.overload_response(head)

    def count_forwarded(self, change: int) -> None:
        """Count a connection that begins or ends to be forwarded."""
        self.process.intake.forwarded += change

    def is_busy(self) -> bool:
        """Return whether connections may have to be forwarded soon."""
        return self.process.intake.is_near()
