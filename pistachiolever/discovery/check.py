"""Checks that an announcement names an endpoint that can be used.

Every reader checks, as an announcement may come from a process that accepted more.
"""

from re import compile as compile_pattern
from typing import Final

from pistachiolever.core.addresses import split_address
from pistachiolever.discovery.models import Announcement, EndpointState

# Visible ASCII characters, as in a path and in a header.
ENDPOINT_ID: Final = compile_pattern(r"[!-~]{1,255}")
MAX_TEXT: Final = 255
# Milliseconds from 1970 to 2100.
MAX_BORN_MS: Final = 4_102_444_800_000
MAX_SEQUENCE: Final = 2**31 - 1
MAX_SLOTS: Final = 1_000_000
MAX_COLD_SECONDS: Final = 86_400.0


def find_problem(announcement: Announcement) -> str:
    """Return why an announcement names no endpoint to use; empty if it does.

    The end of an incarnation needs no more than its identity.
    """
    if ENDPOINT_ID.fullmatch(announcement.endpoint_id) is None:
        return "the id is empty, too long or has other than visible characters"
    if not 0 <= announcement.born_ms <= MAX_BORN_MS:
        return "the start time is out of range"
    if not 0 <= announcement.sequence <= MAX_SEQUENCE:
        return "the sequence number is out of range"
    if announcement.state is EndpointState.GONE:
        return ""
    return _find_problem_of_use(announcement)


def _find_problem_of_use(announcement: Announcement) -> str:
    """Return why an endpoint can't be used as announced; empty if it can."""
    if not 1 <= announcement.slots <= MAX_SLOTS:
        return "the number of slots is out of range"
    if not 0 <= announcement.cold_seconds <= MAX_COLD_SECONDS:
        return "the time of the cold start is out of range"
    texts = (
        announcement.service_id,
        announcement.failure_domain,
        announcement.version,
    )
    if any(len(text) > MAX_TEXT or not text.isprintable() for text in texts):
        return "a name is too long or not printable"
    addresses = [announcement.address]
    if announcement.agent:
        addresses.append(announcement.agent)
    try:
        for address in addresses:
            split_address(address)
    except ValueError as error:
        return str(error)
    return ""
