"""Weighted rendezvous hashing, also known as highest random weight hashing."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

HASH_SPACE_SIZE = 1 << 64


class WeightedNode(NamedTuple):
    """A candidate and its weight, such as the capacity of a server."""

    name: str
    weight: float


def _score(prefix: bytes, name: str, weight: float) -> float:
    hash_value = xxhash.xxh3_64_intdigest(prefix + name.encode())
    return -weight / math.log((hash_value + 0.5) / HASH_SPACE_SIZE)


def order_by_rendezvous(key: bytes, candidates: Iterable[WeightedNode]) -> list[str]:
    """Return the names of the candidates in order of preference for a key.

    Removing a candidate does not change the order of the others, so only the keys that ranked it
    first move to another candidate.

    >>> servers = [WeightedNode("a", 1.0), WeightedNode("b", 1.0), WeightedNode("c", 1.0)]
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
    """Order members of equal weight for a key, such as to choose a reporter without election."""
    return order_by_rendezvous(key.encode(), [WeightedNode(member, 1.0) for member in members])
