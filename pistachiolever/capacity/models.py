"""Sizes of requests, known loads and the estimate of when there is room."""

from attrs import frozen

from pistachiolever.admission.models import Load


@frozen
class RequestSize:
    """Size of a request in tokens."""

    prompt_tokens: int
    output_tokens: int


@frozen
class KnownLoad:
    """The load of an engine and the seconds since it was measured."""

    load: Load
    age_seconds: float


@frozen
class MeanRun:
    """Mean duration and memory of recent runs; zero while none has ended."""

    seconds: float = 0.0
    tokens: float = 0.0


@frozen
class RoomEstimate:
    """The seconds until the best engine has room for a request.

    None if the loads of too many engines are unknown.
    """

    seconds: float | None = None


@frozen
class ReturnLimits:
    """Seconds until a caller's target, and until the last return that it honours.

    `prefill_seconds` is the time to prefill its prompt.
    """

    target_seconds: float
    most_seconds: float
    prefill_seconds: float = 0.0
