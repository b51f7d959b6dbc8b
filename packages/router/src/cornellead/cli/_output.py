"""Output of results as tables or JSON, and of errors."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a text table whose columns are aligned with spaces.

    >>> print(format_table(["NAME", "LOAD"], [["gpu-1", 3], ["gpu-12", 4]]))
    NAME    LOAD
    gpu-1   3
    gpu-12  4
    """
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def print_json(value: Any) -> None:
    """Print a value as indented JSON to standard output."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_errors(errors: Iterable[object]) -> None:
    """Print errors to standard error, one per line."""
    for error in errors:
        print(error, file=sys.stderr)
