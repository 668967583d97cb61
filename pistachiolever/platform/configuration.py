"""Reads the operator's configuration document into the product's configuration."""

from typing import Any

from orjson import JSONDecodeError, loads

from pistachiolever.http1.models import HttpLimits
from pistachiolever.routing.check import check_configuration
from pistachiolever.routing.errors import InvalidConfigurationError
from pistachiolever.routing.models import (
    EngineCapacity,
    ProxyAccount,
    ProxyConfiguration,
    ProxyRoute,
    ProxyService,
    RequestKind,
    WeightedService,
)


def decode_configuration(document: bytes) -> ProxyConfiguration:
    """Return the checked configuration; raise InvalidConfigurationError."""
    try:
        fields = loads(document)
    except JSONDecodeError as error:
        raise InvalidConfigurationError("document", f"no JSON: {error}") from error
    reader = Reader(fields, "document")
    accounts = None
    if "tenants" in reader.fields:
        accounts = [_account(entry) for entry in reader.entries("tenants")]
    limits = reader.table("limits") if "limits" in reader.fields else None
    configuration = ProxyConfiguration(
        reader.integer("version"),
        [_route(entry) for entry in reader.entries("routes")],
        [_service(entry) for entry in reader.entries("services")],
        accounts,
        _limits(limits) if limits else HttpLimits(),
        limits.number("tokensPerS", 0.0) if limits else 0.0,
    )
    check_configuration(configuration)
    return configuration


def configuration_version(document: bytes) -> int:
    """Return the version of a valid document; raise InvalidConfigurationError."""
    return decode_configuration(document).version


class Reader:
    """Typed access to the fields of a JSON table; faults name the field."""

    def __init__(self, fields: Any, where: str) -> None:
        """Take a table; raise InvalidConfigurationError for anything else."""
        if not isinstance(fields, dict):
            raise InvalidConfigurationError(where, "must be a table")
        self.fields: dict[str, Any] = fields
        self.where = where

    def fault(self, name: str, reason: str) -> InvalidConfigurationError:
        """Return the error for a field."""
        return InvalidConfigurationError(f"{self.where}.{name}", reason)

    def text(self, name: str) -> str:
        """Return a text that must be there."""
        value = self.fields.get(name)
        if not isinstance(value, str) or not value:
            raise self.fault(name, "must be a text")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number."""
        value = self.fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.fault(name, "must be a number")
        return float(value)

    def integer(self, name: str, default: int | None = None) -> int:
        """Return a whole number."""
        value = self.fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            raise self.fault(name, "must be a whole number")
        return value

    def flag(self, name: str) -> bool:
        """Return a truth value; false where it is not there."""
        value = self.fields.get(name, False)
        if not isinstance(value, bool):
            raise self.fault(name, "must be true or false")
        return value

    def entries(self, name: str) -> list["Reader"]:
        """Return the tables of a list."""
        value = self.fields.get(name)
        if not isinstance(value, list):
            raise self.fault(name, "must be a list")
        return [
            Reader(entry, f"{self.where}.{name}[{index}]")
            for index, entry in enumerate(value)
        ]

    def table(self, name: str) -> "Reader":
        """Return a table."""
        return Reader(self.fields.get(name), f"{self.where}.{name}")

    def texts(self, name: str) -> list[str]:
        """Return a list of texts; empty where it is not there."""
        value = self.fields.get(name, [])
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            raise self.fault(name, "must be a list of texts")
        return value


def _route(entry: Reader) -> ProxyRoute:
    """Return one route."""
    try:
        kind = RequestKind(entry.text("kind"))
    except ValueError as error:
        raise entry.fault("kind", "is not a kind of request") from error
    timeout = entry.number("timeoutMs") / 1000
    return ProxyRoute(
        entry.text("name"),
        entry.text("host").lower(),
        entry.text("pathPrefix"),
        kind,
        _weighted(entry),
        timeout,
        entry.number("targetLatencyMs", timeout * 1000) / 1000,
        entry.integer("priority", 0),
        entry.integer("maxAttempts", 1),
        entry.flag("public"),
        entry.flag("resumable"),
        entry.number("targetGapMs", 0) / 1000,
    )


def _weighted(entry: Reader) -> list[WeightedService]:
    """Return a route's services: one, or several with weights."""
    if entry.fields.get("trafficSplit"):
        return [
            WeightedService(choice.text("service"), choice.number("weight"))
            for choice in entry.entries("trafficSplit")
        ]
    return [WeightedService(entry.text("service"), 1.0)]


def _service(entry: Reader) -> ProxyService:
    """Return one service; a model engine's service describes its engines."""
    engine = None
    if entry.fields.get("engine") is not None:
        shape = entry.table("engine")
        engine = EngineCapacity(
            shape.integer("slots", 1),
            shape.integer("kvCapacityTokens", 0),
            shape.integer("stride", 1),
            [model.text("name") for model in shape.entries("models")]
            if "models" in shape.fields
            else [],
        )
    return ProxyService(
        entry.text("name"),
        str(entry.fields.get("healthPath", "/")),
        entry.integer("maxConns", 64),
        engine,
    )


def _account(entry: Reader) -> ProxyAccount:
    """Return one client account."""
    priority = entry.integer("priority") if "priority" in entry.fields else None
    return ProxyAccount(entry.text("name"), entry.texts("apiKeys"), priority)


def _limits(entry: Reader) -> HttpLimits:
    """Return what callers may send."""
    default = HttpLimits()
    return HttpLimits(
        entry.integer("maxHeaderBytes", default.max_head_bytes),
        entry.integer("maxBodyBytes", default.max_body_bytes),
        entry.number("headerTimeoutMs", default.head_seconds * 1000) / 1000,
        entry.number("idleTimeoutMs", default.idle_seconds * 1000) / 1000,
    )
