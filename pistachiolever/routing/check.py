"""Validates a whole configuration; reports the first invalid field."""

from pistachiolever.http1.heads import is_field_value
from pistachiolever.routing.errors import InvalidConfigurationError
from pistachiolever.routing.models import ProxyConfiguration, ProxyRoute


def check_configuration(configuration: ProxyConfiguration) -> None:
    """Raise InvalidConfigurationError if the configuration is invalid."""
    if configuration.version < 0:
        raise InvalidConfigurationError("version", "must not be negative")
    service_ids = [service.service_id for service in configuration.services]
    _check_unique("services", service_ids)
    for index, service in enumerate(configuration.services):
        if min(service.cold_start_seconds, service.cold_requests_per_second) < 0:
            path = f"services[{index}]"
            raise InvalidConfigurationError(path, "a cold start must not be negative")
    known = set(service_ids)
    known_matches: set[tuple[str, str]] = set()
    for index, route in enumerate(configuration.routes):
        path = f"routes[{index}]"
        _check_route(path, route, known)
        match = (route.host, route.prefix)
        if match in known_matches:
            raise InvalidConfigurationError(
                path, f"another route has host {route.host} and prefix {route.prefix}"
            )
        known_matches.add(match)
    accounts = configuration.accounts or []
    for index, account in enumerate(accounts):
        if not is_field_value(account.account_id.encode()):
            raise InvalidConfigurationError(
                f"accounts[{index}]", "endpoints get the name as the value of a header"
            )
    _check_unique("accounts", [account.account_id for account in accounts])
    _check_unique("keys", [key for account in accounts for key in account.keys])


def _check_route(path: str, route: ProxyRoute, known: set[str]) -> None:
    """Validate one route against the known services."""
    if not route.services:
        raise InvalidConfigurationError(path, "must name at least one service")
    for choice in route.services:
        if choice.service_id not in known:
            raise InvalidConfigurationError(
                path, f"service {choice.service_id} is unknown"
            )
        if choice.weight < 0:
            raise InvalidConfigurationError(path, "weights must not be negative")
    if sum(choice.weight for choice in route.services) <= 0:
        raise InvalidConfigurationError(path, "the sum of the weights must be above 0")
    if route.timeout_seconds <= 0:
        raise InvalidConfigurationError(path, "the timeout must be above 0")
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        raise InvalidConfigurationError(
            path, "the prefix must start and end with a slash"
        )
    if route.attempts < 1:
        raise InvalidConfigurationError(path, "at least 1 attempt must be allowed")


def _check_unique(path: str, values: list[str]) -> None:
    """Raise InvalidConfigurationError if a value is not unique."""
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise InvalidConfigurationError(path, "values must be unique")
        seen.add(value)
