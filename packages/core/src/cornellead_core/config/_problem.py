"""Validation error in a configuration object."""

from __future__ import annotations

from typing import NamedTuple


class Problem(NamedTuple):
    """Field path of an invalid value, what is wrong with it, and the accepted values."""

    path: tuple[str, ...]
    message: str
    accepted: str = ""

    def __str__(self) -> str:
        hint = f" (accepted: {self.accepted})" if self.accepted else ""
        return f"{'.'.join(self.path)}: {self.message}{hint}"
