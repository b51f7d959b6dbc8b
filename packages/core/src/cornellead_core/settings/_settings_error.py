"""A fault in a settings or configuration file."""

from __future__ import annotations

from typing import NamedTuple


class SettingsError(NamedTuple):
    """Where a file is wrong and what it may contain instead.

    >>> print(SettingsError("a.yaml", 3, "process.http", "missing", "ip:port"))
    a.yaml:3: process.http: missing (accepted: ip:port)
    """

    file: str
    line: int
    """Line number from 1; the enclosing mapping's line when a key is missing."""
    path: str
    """Keys down to the value, separated by dots."""
    message: str
    accepted: str = ""

    def __str__(self) -> str:
        where = (
            f"{self.file}:{self.line}: {self.path}: " if self.path else f"{self.file}:{self.line}: "
        )
        hint = f" (accepted: {self.accepted})" if self.accepted else ""
        return f"{where}{self.message}{hint}"
