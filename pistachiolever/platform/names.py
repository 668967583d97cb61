"""Header names, paths and variables of the platform."""

from typing import Final

from pistachiolever.gateway.header_format import HeaderFormat

SETTINGS_VARIABLE: Final = "PISTACHIOLEVER_BOOT"
READY_PATH: Final = "/api/ready"
CONFIGURATION_PATH: Final = "/api/config"
INSTANCES_PATH: Final = "/api/instances/"
EVACUATIONS_PATH: Final = "/api/evacuate/"
REPORT_PATH: Final = "/api/report"
COLD_HEADER: Final = b"cold-ms"
# Also in deploy/system.toml.
METRICS_PORT: Final = 9464
METRICS_PATH: Final = "/metrics"

HEADER_FORMAT: Final = HeaderFormat(
    request_id=b"request-id",
    deadline_ms=b"deadline-ms",
    account=b"tenant",
    model=b"model",
    token_counts=b"token-counts",
    prompt_parts=b"prompt-prefix",
    length_hint=b"length-hint",
    instance=b"expect-instance",
    signature=b"server-stamp",
    not_run=b"not-run",
    load=b"server-load",
    leaving=b"server-leaving",
    rate_limit=b"server-limit",
    resumes=b"resumes",
    internal_request_headers=frozenset(
        {
            b"expect-version",
            b"hold",
            b"pin-ms",
            b"kv-backup",
            b"kv-fetch",
            b"kv-from",
        }
    ),
    internal_response_headers=frozenset({b"instance-id"}),
)
