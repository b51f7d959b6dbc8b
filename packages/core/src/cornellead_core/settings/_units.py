"""Durations and sizes with units."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Mapping

DURATION_UNITS_S: Final = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
SIZE_UNITS: Final = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

DURATION_HELP: Final = "a duration such as 500ms, 30s, 10m or 1h, or a number of seconds"
SIZE_HELP: Final = "a size such as 512KiB or 4MiB, or a number of bytes"

_QUANTITY = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?) ?([A-Za-z]{1,3})")


def parse_duration(value: object) -> float | None:
    """Return a duration in seconds, or ``None`` if it is not one.

    >>> parse_duration("500ms"), parse_duration("1h"), parse_duration(30), parse_duration("4MiB")
    (0.5, 3600.0, 30.0, None)
    """
    seconds = _parse(value, DURATION_UNITS_S)
    return None if seconds is None else float(seconds)


def parse_size(value: object) -> int | None:
    """Return a size in bytes, or ``None`` if it is not one.

    >>> parse_size("4MiB"), parse_size(512), parse_size("30s")
    (4194304, 512, None)
    """
    size = _parse(value, SIZE_UNITS)
    return int(size) if size is not None and size == int(size) else None


def _parse(value: object, units: Mapping[str, float]) -> float | None:
    if isinstance(value, bool):
        return None
    if isinstance(value, int | float):
        return value if 0 <= value < 1e15 else None
    if not isinstance(value, str):
        return None
    match = _QUANTITY.fullmatch(value)
    if match is None or match[2] not in units:
        return None
    # Rounds to a microsecond so that 500ms is 0.5 and not 0.5000000000000001.
    return round(float(match[1]) * units[match[2]], 6)
