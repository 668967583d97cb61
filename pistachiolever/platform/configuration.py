"""Decodes the configuration document of the operators."""

from orjson import JSONDecodeError, loads

from pistachiolever.http1.models import HttpLimits
from pistachiolever.routing.check import check_configuration
from pistachiolever.routing.document import FieldReader
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
    """Return the validated configuration; raise InvalidConfigurationError."""
    try:
        fields = loads(document)
    except JSONDecodeError as error:
        raise InvalidConfigurationError("document", f"invalid JSON: {error}") from error
    root = FieldReader(fields, "document")
    accounts = None
    if "tenants" in root.fields:
        accounts = [_account(entry) for entry in root.objects("tenants")]
    limits = root.object("limits") if "limits" in root.fields else None
    configuration = ProxyConfiguration(
        root.integer("version"),
        [_route(entry) for entry in root.objects("routes")],
        [_service(entry) for entry in root.objects("services")],
        accounts,
        _limits(limits) if limits else HttpLimits(),
        limits.number("tokensPerS", 0.0) if limits else 0.0,
    )
    check_configuration(configuration)
    return configuration


def configuration_version(document: bytes) -> int:
    """Return the version of a valid document; raise InvalidConfigurationError."""
    return decode_configuration(document).version


def configuration_services(document: str) -> set[str]:
    """Return the ids of the services; none if the document is invalid."""
    try:
        services = decode_configuration(document.encode()).services
    except InvalidConfigurationError:
        return set()
    return {service.service_id for service in services}


def _route(entry: FieldReader) -> ProxyRoute:
    """Return one route."""
    try:
        kind = RequestKind(entry.string("kind"))
    except ValueError as error:
        raise entry.error("kind", "is not a known kind of request") from error
    timeout = entry.number("timeoutMs") / 1000
    return ProxyRoute(
        entry.string("name"),
        entry.string("host").lower(),
        entry.string("pathPrefix"),
        kind,
        _weighted_services(entry),
        timeout,
        entry.number("targetLatencyMs", timeout * 1000) / 1000,
        entry.integer("priority", 0),
        entry.integer("maxAttempts", 1),
        entry.boolean("public"),
        entry.boolean("resumable"),
        entry.number("targetGapMs", 0) / 1000,
    )


def _weighted_services(entry: FieldReader) -> list[WeightedService]:
    """Return the weighted services of a route."""
    if entry.fields.get("trafficSplit"):
        return [
            WeightedService(choice.string("service"), choice.number("weight"))
            for choice in entry.objects("trafficSplit")
        ]
    return [WeightedService(entry.string("service"), 1.0)]


def _service(entry: FieldReader) -> ProxyService:
    """Return one service; model services have the capacity of their engines."""
    engine = None
    if entry.fields.get("engine") is not None:
        capacity = entry.object("engine")
        engine = EngineCapacity(
            capacity.integer("slots", 1),
            capacity.integer("kvCapacityTokens", 0),
            capacity.integer("stride", 1),
            [model.string("name") for model in capacity.objects("models")]
            if "models" in capacity.fields
            else [],
        )
    return ProxyService(
        entry.string("name"),
        str(entry.fields.get("healthPath", "/")),
        entry.integer("maxConns", 64),
        engine,
        entry.number("coldStartS", 0.0),
        entry.number("coldPerS", 0.0),
    )


def _account(entry: FieldReader) -> ProxyAccount:
    """Return one client account."""
    priority = entry.integer("priority") if "priority" in entry.fields else None
    return ProxyAccount(entry.string("name"), entry.strings("apiKeys"), priority)


def _limits(entry: FieldReader) -> HttpLimits:
    """Return the HTTP limits for callers."""
    default = HttpLimits()
    return HttpLimits(
        entry.integer("maxHeaderBytes", default.max_head_bytes),
        entry.integer("maxBodyBytes", default.max_body_bytes),
        entry.number("headerTimeoutMs", default.head_seconds * 1000) / 1000,
        entry.number("idleTimeoutMs", default.idle_seconds * 1000) / 1000,
    )
