"""Paths, limits and reasons of the internal protocol."""

from typing import Final

SESSION_PATH: Final = "/inner/session"
COMMANDS_PATH: Final = "/inner/commands"
STATUS_PATH: Final = "/inner/status"
ROUTER_HEARTBEAT_PATH: Final = "/inner/heartbeat/router"
SIDECAR_HEARTBEAT_PATH: Final = "/inner/heartbeat/sidecar"
RAFT_PATH: Final = "/inner/raft"
WATCH_PATH: Final = "/inner/watch"
CLAIM_OPEN_PATH: Final = "/inner/claims/open"
CLAIM_CLOSE_PATH: Final = "/inner/claims/close"
MAX_INNER_BODY_BYTES: Final = 16 * 1024 * 1024
MAX_BIDS_PER_MESSAGE: Final = 8
KIND_FIELD: Final = "kind"
NO_ROOM_REASON: Final = "no-room"
OVERLOADED_REASON: Final = "endpoint-overloaded"
REJECTED_REASON: Final = "endpoint-rejected"
