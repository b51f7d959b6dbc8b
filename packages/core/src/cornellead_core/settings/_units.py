"""Parsers of durations and sizes that are written with a unit."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Mapping

DURATION_UNITS_S: Final = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
SIZE_UNITS_BYTES: Final = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

DURATION_HELP: Final = "a duration such as 500ms, 30s, 10m or 1h, or a number of seconds"
SIZE_HELP: Final = "a size such as 512KiB or 4MiB, or a number of bytes"

_QUANTITY_PATTERN = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?) ?([A-Za-z]{1,3})")


def parse_duration(value: object) -> float | None:
    """Return a duration in seconds, or ``None`` if the value is not a valid duration.

    >>> parse_duration("500ms"), parse_duration("1h"), parse_duration(30), parse_duration("4MiB")
    (0.5, 3600.0, 30.0, None)
    """
    seconds = _parse_quantity(value, DURATION_UNITS_S)
    return None if seconds is None else float(seconds)


def parse_size(value: object) -> int | None:
    """Return a size in bytes, or ``None`` if the value is not a whole number of bytes.

    >>> parse_size("4MiB"), parse_size(512), parse_size("30s")
    (4194304, 512, None)
    """
    size = _parse_quantity(value, SIZE_UNITS_BYTES)
    return int(size) if size is not None and size == int(size) else None


def _parse_quantity(value: object, units: Mapping[str, float]) -> float | None:
    if isinstance(value, bool):
        return None
    if isinstance(value, int | float):
        return value if 0 <= value < 1e15 else None
    if not isinstance(value, str):
        return None
    match = _QUANTITY_PATTERN.fullmatch(value)
    if match is None or match[2] not in units:
        return None
    # Rounds to a microsecond: floating point would turn 500ms into 0.5000000000000001 s.
    return round(float(match[1]) * units[match[2]], 6)
