"""Declarations of operators and their revisions."""

from enum import Enum

from attrs import field, frozen

from pistachiolever.declarations.const import (
    DEFAULT_MAX_CONCURRENCY,
    DEFAULT_MAX_OUTPUT_TOKENS,
    DEFAULT_PRESET_ID,
    DEFAULT_QUEUE_BYTES,
    DEFAULT_QUEUE_COUNT,
    DEFAULT_QUEUE_SECONDS,
    DEFAULT_RETRY_FRACTION,
    DEFAULT_WEIGHT,
)


class ServiceKind(Enum):
    """Protocol of a service's endpoints: streaming completions or plain JSON calls."""

    MODEL = "model"
    PLAIN = "plain"


@frozen
class Account:
    """A client account with its weight, hashed keys and allowed services."""

    id: str
    key_sha256: list[str]
    service_ids: list[str]
    weight: float = DEFAULT_WEIGHT


@frozen
class CostRule:
    """The cost of one request, in the service's cost units."""

    per_input_token: float = 0.0
    per_output_token: float = 0.0
    per_call: float = 1.0

    def cost_of(self, input_tokens: int, output_tokens: int) -> float:
        """Return the cost of a call with the given token counts."""
        return (
            self.per_call
            + self.per_input_token * input_tokens
            + self.per_output_token * output_tokens
        )


@frozen
class Service:
    """What endpoints offer; `repeatable` tells if a request may run more than once."""

    id: str
    kind: ServiceKind
    repeatable: bool
    model: str = ""
    cost: CostRule = field(factory=CostRule)
    max_output_tokens: int = DEFAULT_MAX_OUTPUT_TOKENS
    max_concurrency: int = DEFAULT_MAX_CONCURRENCY

    def max_cost(self) -> float:
        """Return the upper bound of cost estimates."""
        return self.cost.cost_of(self.max_output_tokens, self.max_output_tokens)


@frozen
class Endpoint:
    """A declared endpoint; `checks_orders` if it rejects stale fencing tokens."""

    id: str
    service_id: str
    checks_orders: bool


@frozen
class FailureDomain:
    """A failure domain and its region."""

    id: str
    region: str


@frozen
class Preset:
    """A named set of limits and weight factors, of which one is in force.

    `retry_fraction` is the fraction of requests that may be retried.
    `concurrency_factor` multiplies the `max_concurrency` of all services.
    """

    id: str
    queue_count_per_account: int = DEFAULT_QUEUE_COUNT
    queue_bytes_per_account: int = DEFAULT_QUEUE_BYTES
    queue_seconds: float = DEFAULT_QUEUE_SECONDS
    retry_fraction: float = DEFAULT_RETRY_FRACTION
    concurrency_factor: float = 1.0
    account_weight_factors: dict[str, float] = field(factory=dict)


@frozen
class Declarations:
    """The complete declarations, with the id of the preset in force."""

    accounts: list[Account] = field(factory=list)
    services: list[Service] = field(factory=list)
    endpoints: list[Endpoint] = field(factory=list)
    failure_domains: list[FailureDomain] = field(factory=list)
    presets: list[Preset] = field(factory=list)
    preset_in_force: str = DEFAULT_PRESET_ID


@frozen
class Revision:
    """A numbered revision of the declarations, with indexes for lookup.

    `account_by_key` is indexed by the SHA-256 digest of each key.
    """

    number: int
    declarations: Declarations
    account_by_id: dict[str, Account]
    account_by_key: dict[str, Account]
    service_by_id: dict[str, Service]
    endpoint_by_id: dict[str, Endpoint]
    preset: Preset

    @classmethod
    def of(cls, number: int, declarations: Declarations) -> "Revision":
        """Create a revision and index its declarations."""
        preset_by_id = {preset.id: preset for preset in declarations.presets}
        return cls(
            number,
            declarations,
            {account.id: account for account in declarations.accounts},
            {
                digest: account
                for account in declarations.accounts
                for digest in account.key_sha256
            },
            {service.id: service for service in declarations.services},
            {endpoint.id: endpoint for endpoint in declarations.endpoints},
            preset_by_id.get(
                declarations.preset_in_force, Preset(declarations.preset_in_force)
            ),
        )

    def weight_of(self, account_id: str) -> float:
        """Return the weight of an account under the preset in force."""
        account = self.account_by_id.get(account_id)
        if account is None:
            return DEFAULT_WEIGHT
        return account.weight * self.preset.account_weight_factors.get(account_id, 1.0)
