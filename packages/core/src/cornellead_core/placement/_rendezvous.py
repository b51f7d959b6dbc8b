"""Weighted rendezvous hashing."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

HASH_RANGE = 1 << 64


class Weighted(NamedTuple):
    """A candidate with its weight, usually the capacity of a server."""

    name: str
    weight: float


def _score(prefix: bytes, name: str, weight: float) -> float:
    digest = xxhash.xxh3_64_intdigest(prefix + name.encode())
    return -weight / math.log((digest + 0.5) / HASH_RANGE)


def order_by_rendezvous(key: bytes, candidates: Iterable[Weighted]) -> list[str]:
    """Order candidates for a key, best first.

    Removing a candidate does not change the order of the others, so only the keys that had it first
    move.

    >>> servers = [Weighted("a", 1.0), Weighted("b", 1.0), Weighted("c", 1.0)]
    >>> order = order_by_rendezvous(b"chat", servers)
    >>> rest = order_by_rendezvous(b"chat", [s for s in servers if s.name != order[0]])
    >>> rest == order[1:]
    True
    """
    prefix = key + b"\0"
    scored = [(_score(prefix, name, weight), name) for name, weight in candidates]
    scored.sort(reverse=True)
    return [name for _, name in scored]


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Order equal members for a key, for example to choose a reporter without an election."""
    return order_by_rendezvous(key.encode(), [Weighted(member, 1.0) for member in members])
