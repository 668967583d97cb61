"""Base versions of services within moments, in tests."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from pistachiolever.gateway import version_confirmation
from pistachiolever.streams import base_versions, version_history

BASE_SECONDS = 0.1


@contextmanager
def early_base_versions() -> Iterator[None]:
    """Let a version become the base version soon, and routers hear of it soon."""
    with (
        patch.object(version_history, "BASE_SECONDS", BASE_SECONDS),
        patch.object(base_versions, "NO_BASE_REFRESH_SECONDS", BASE_SECONDS),
        patch.object(version_confirmation, "NO_BASE_REFRESH_SECONDS", BASE_SECONDS),
    ):
        yield
