"""A named, typed slot of the blackboard."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class Fact(Generic[T]):
    """Key of a fact; the default holds until a controller writes the fact."""

    __slots__ = ("default", "name")

    def __init__(self, *, name: str, default: T) -> None:
        self.name = name
        self.default = default

    def __repr__(self) -> str:
        return f"Fact({self.name})"
