"""Checks a configuration as a whole; the first fault is told by its field."""

from pistachiolever.routing.errors import InvalidConfigurationError
from pistachiolever.routing.models import ProxyConfiguration, ProxyRoute


def check_configuration(configuration: ProxyConfiguration) -> None:
    """Raise InvalidConfigurationError if the configuration cannot be in force."""
    if configuration.version < 0:
        raise InvalidConfigurationError("version", "must not be negative")
    names = [service.service_id for service in configuration.services]
    _check_unique("services", names)
    known = set(names)
    places: set[tuple[str, str]] = set()
    for index, route in enumerate(configuration.routes):
        where = f"routes[{index}]"
        _check_route(where, route, known)
        place = (route.host, route.prefix)
        if place in places:
            raise InvalidConfigurationError(
                where, f"host {route.host} and prefix {route.prefix} are taken"
            )
        places.add(place)
    accounts = configuration.accounts or []
    _check_unique("accounts", [account.account_id for account in accounts])
    _check_unique("keys", [key for account in accounts for key in account.keys])


def _check_route(where: str, route: ProxyRoute, known: set[str]) -> None:
    """Check one route against the services that are known."""
    if not route.services:
        raise InvalidConfigurationError(where, "names no service")
    for choice in route.services:
        if choice.service_id not in known:
            raise InvalidConfigurationError(
                where, f"service {choice.service_id} is unknown"
            )
        if choice.weight < 0:
            raise InvalidConfigurationError(where, "a weight is negative")
    if sum(choice.weight for choice in route.services) <= 0:
        raise InvalidConfigurationError(where, "the weights add up to 0")
    if route.timeout_seconds <= 0:
        raise InvalidConfigurationError(where, "the timeout must be above 0")
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        raise InvalidConfigurationError(where, "a prefix starts and ends with a slash")
    if route.attempts < 1:
        raise InvalidConfigurationError(where, "at least one attempt is needed")


def _check_unique(where: str, names: list[str]) -> None:
    """Check that no name comes twice."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise InvalidConfigurationError(where, "a name comes twice")
        seen.add(name)
