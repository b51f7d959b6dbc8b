"""Report of a request that was at a server when it crashed."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

MAX_KEY_LENGTH = 32
"""Length in characters above which a part is identified by a hash."""


class CrashReport(NamedTuple):
    """A request that a crashed server had not begun to answer, or just had."""

    request: int
    """Hash of the request id."""
    server: int
    """Hash of the server name."""
    parts: tuple[str, ...]
    """Keys of the prompt's parts in order, without the last one, which belongs to this request."""
    at: float
    """Time of the crash in seconds, by the clock of this router."""


def part_key(part: str) -> str:
    """Return a key of bounded length for a prompt part.

    >>> part_key("48720f")
    '48720f'
    >>> len(part_key("7" * 400))
    16
    """
    return part if len(part) <= MAX_KEY_LENGTH else xxhash.xxh3_64_hexdigest(part.encode())
