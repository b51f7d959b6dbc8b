"""Decoding of counts and ids from another process."""

from __future__ import annotations

MAX_DIGITS = 18
"""Maximum number of digits of a count, which keeps it below 2**63."""


def decode_count(digits: bytes) -> int | None:
    """Return a number without sign; ``None`` if the bytes are none, or one that is too large.

    Python refuses to convert thousands of digits, and takes long for fewer.

    >>> decode_count(b"12"), decode_count(b"-1"), decode_count(b"1" * 5000)
    (12, None, None)
    """
    return int(digits) if digits.isdigit() and len(digits) <= MAX_DIGITS else None
