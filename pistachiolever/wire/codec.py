"""JSON encoding of the messages of the internal protocol."""

from typing import TypeVar

from attrs import has
from cattrs import BaseValidationError
from cattrs.preconf.orjson import make_converter
from cattrs.strategies import configure_tagged_union
from orjson import JSONDecodeError, dumps, loads

from pistachiolever.core.errors import ProtocolError
from pistachiolever.wire.const import KIND_FIELD
from pistachiolever.wire.models import RouterMessage, SidecarMessage

T = TypeVar("T")

_converter = make_converter(omit_if_default=True, detailed_validation=False)
configure_tagged_union(RouterMessage, _converter, tag_name=KIND_FIELD)
configure_tagged_union(SidecarMessage, _converter, tag_name=KIND_FIELD)


def encode(message: object) -> bytes:
    """Return the message as compact JSON, without fields that have default values."""
    return dumps(_converter.unstructure(message))


def decode(text: bytes | str, as_type: type[T]) -> T:
    """Return the message as the given type; raise ProtocolError if it is invalid."""
    try:
        return _converter.structure(loads(text), as_type)
    except (
        BaseValidationError,
        JSONDecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
    ) as error:
        name = as_type.__name__ if has(as_type) else str(as_type)
        raise ProtocolError(f"not a {name}: {error}") from error
