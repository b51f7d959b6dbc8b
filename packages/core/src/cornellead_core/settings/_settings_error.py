"""An error in a settings or configuration file."""

from __future__ import annotations

from typing import NamedTuple


class SettingsError(NamedTuple):
    """Location of an error in a file, and the values that are accepted there.

    >>> print(SettingsError("a.yaml", 3, "process.http", "missing", "ip:port"))
    a.yaml:3: process.http: missing (accepted: ip:port)
    """

    file: str
    line: int
    """Line number from 1, or 0 if the input is not a file; a missing key has its mapping's line."""
    path: str
    """Keys from the root to the value, separated by dots; empty for the whole file."""
    message: str
    accepted: str = ""
    """Description of the accepted values; empty if there is nothing to say about them."""

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}: " if self.line else f"{self.file}: "
        path = f"{self.path}: " if self.path else ""
        accepted = f" (accepted: {self.accepted})" if self.accepted else ""
        return f"{location}{path}{self.message}{accepted}"
