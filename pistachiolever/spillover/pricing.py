"""What placement needs to know: the price of each endpoint's domain."""

from typing import Protocol

from attrs import frozen

from pistachiolever.spillover.const import REMOTE_DOMAIN_PENALTY_SECONDS
from pistachiolever.spillover.models import LeavingRequest, Option, Price, Reason


class DomainPricing(Protocol):
    """Prices endpoints by their failure domain."""

    def prices(
        self, request: LeavingRequest, options: list[Option], now: float
    ) -> list[Price]:
        """Return the price of each option, in order."""


@frozen
class ConstantPricing:
    """Prices other domains as if nothing were known of them."""

    failure_domain: str

    def prices(
        self, request: LeavingRequest, options: list[Option], now: float
    ) -> list[Price]:
        """Return the constant price for options in other domains."""
        remote = Price(REMOTE_DOMAIN_PENALTY_SECONDS, Reason.UNKNOWN)
        return [
            Price() if option.domain == self.failure_domain else remote
            for option in options
        ]
