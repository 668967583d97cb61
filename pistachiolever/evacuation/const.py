"""Limits and names of evacuations."""

from typing import Final

# Longer names are refused; no announcement carries a domain of over 255 characters.
MAX_DOMAIN_CHARACTERS: Final = 200
# Reason of a refusal: all endpoints that could serve the request are in evacuated
# failure domains.
EVACUATED: Final = "evacuated"
