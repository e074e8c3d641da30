"""Parsing of the key file; the keys authenticate datagrams."""

from __future__ import annotations

from garnetusher.errors import GarnetusherError

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64


class KeyFileError(GarnetusherError, ValueError):
    """The content of a key file is not valid."""


def parse_keys(text: str) -> list[bytes]:
    """Parse the text of a key file.

    Each line holds one key in hexadecimal; the first key signs datagrams. A `#` starts a comment.

    Raises:
        KeyFileError: A line is not a valid key, or the file holds no key.
    """
    keys = []
    for line_number, line in enumerate(text.splitlines(), 1):
        digits = line.split("#")[0].strip()
        if digits:
            keys.append(_parse_key(digits, line_number))
    if not keys:
        message = "expected at least one key"
        raise KeyFileError(message)
    return keys


def _parse_key(digits: str, line_number: int) -> bytes:
    try:
        key = bytes.fromhex(digits)
    except ValueError:
        message = f"line {line_number}: expected a key in hexadecimal"
        raise KeyFileError(message) from None
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        message = f"line {line_number}: expected a key of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, got {len(key)}"
        raise KeyFileError(message)
    return key
