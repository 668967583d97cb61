"""Numbers that come as text from outside."""

from typing import Final

# Larger numbers are a mistake or an attack; JSON keeps integers up to this one.
MAX_NUMBER: Final = 2**53
MAX_DIGITS: Final = 16


def parse_whole_number(text: bytes) -> int | None:
    """Return a number from 0 to MAX_NUMBER, None if the text is no such number.

    Parsing any number of digits would take long, or fail.
    """
    text = text.strip()
    if not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    number = int(text)
    return number if number <= MAX_NUMBER else None
