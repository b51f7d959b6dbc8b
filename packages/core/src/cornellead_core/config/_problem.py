"""A fault in a configuration object."""

from __future__ import annotations

from typing import NamedTuple


class Problem(NamedTuple):
    """Where an object is wrong and what it may contain instead."""

    path: tuple[str, ...]
    message: str
    accepted: str = ""

    def __str__(self) -> str:
        hint = f" (accepted: {self.accepted})" if self.accepted else ""
        return f"{'.'.join(self.path)}: {self.message}{hint}"
