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
    """Line number from 1, the enclosing mapping's when a key is missing; 0 without a file."""
    path: str
    """Keys down to the value, separated by dots."""
    message: str
    accepted: str = ""

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}: " if self.line else f"{self.file}: "
        path = f"{self.path}: " if self.path else ""
        hint = f" (accepted: {self.accepted})" if self.accepted else ""
        return f"{where}{path}{self.message}{hint}"
