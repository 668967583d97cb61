"""Random ids of requests, incarnations and changes, and the format of names."""

import re
from random import Random
from typing import Final

ID_BITS: Final = 128
ID_PATTERN: Final = re.compile(r"^[0-9a-f]{32}$")
NAME_PATTERN: Final = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")


def new_id(rng: Random) -> str:
    """Return 128 random bits as 32 hexadecimal digits."""
    return f"{rng.getrandbits(ID_BITS):032x}"


def is_id(text: str) -> bool:
    """Return whether the text has the format of an id."""
    return ID_PATTERN.match(text) is not None
