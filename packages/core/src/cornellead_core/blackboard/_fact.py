"""Typed key of a value on the blackboard."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class Fact(Generic[T]):
    """Key of a value on the blackboard; reads return the default until the first write."""

    __slots__ = ("default", "name")

    def __init__(self, *, name: str, default: T) -> None:
        self.name = name
        self.default = default

    def __repr__(self) -> str:
        return f"Fact({self.name})"
