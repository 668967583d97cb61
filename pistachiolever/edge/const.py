"""Timeouts, limits and header names of HTTP servers and clients."""

from typing import Final

CONNECT_SECONDS: Final = 2.0
CALL_SECONDS: Final = 5.0
SESSION_TIMEOUT_SECONDS: Final = 5.0
KEEP_ALIVE_SECONDS: Final = 75.0
SHUTDOWN_SECONDS: Final = 3.0
MAX_HEADER_BYTES: Final = 16 * 1024
MAX_CONNECTIONS: Final = 20_000
SSE_CONTENT_TYPE: Final = "text/event-stream"
JSON_CONTENT_TYPE: Final = "application/json"
REQUEST_ID_HEADER: Final = "x-request-id"
IDEMPOTENCY_HEADER: Final = "idempotency-key"
LEAVING_HEADER: Final = "x-leaving"
RATE_LIMIT_HEADER: Final = "x-rate-limit"
MAX_IDEMPOTENCY_KEY_CHARS: Final = 128
