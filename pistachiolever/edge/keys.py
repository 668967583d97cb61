"""Extraction, hashing and comparison of bearer keys."""

from hashlib import sha256
from hmac import compare_digest
from typing import Final

BEARER_PREFIX: Final = "bearer "


def bearer_key(header: str) -> str:
    """Return the key of an Authorization header, or an empty string."""
    if not header.lower().startswith(BEARER_PREFIX):
        return ""
    return header[len(BEARER_PREFIX) :].strip()


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 digest by which a key is stored."""
    return sha256(key.encode()).hexdigest()


def same_key(key: str, expected: str) -> bool:
    """Return whether two keys are equal, in constant time."""
    return compare_digest(key.encode(), expected.encode())
