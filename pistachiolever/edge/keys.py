"""Bearer keys: how they are read, hashed and compared."""

from hashlib import sha256
from hmac import compare_digest
from typing import Final

BEARER_PREFIX: Final = "bearer "


def bearer_key(header: str) -> str:
    """Return the key of an Authorization header, or an empty text."""
    if not header.lower().startswith(BEARER_PREFIX):
        return ""
    return header[len(BEARER_PREFIX) :].strip()


def key_digest(key: str) -> str:
    """Return the SHA-256 digest under which a key is stored."""
    return sha256(key.encode()).hexdigest()


def same_key(key: str, expected: str) -> bool:
    """Compare two keys in constant time."""
    return compare_digest(key.encode(), expected.encode())
