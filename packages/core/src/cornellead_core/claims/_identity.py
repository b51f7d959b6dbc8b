"""Partition numbers, stream names, and digests of idempotency keys and request bodies."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import xxhash

from cornellead_core.placement import rank_members

if TYPE_CHECKING:
    from collections.abc import Iterable

PARTITION_COUNT = 32
"""Must not change for an existing log, or old keys would be looked up in the wrong streams."""

DIGEST_BYTES = 16


def partition_of(*, team: str, key: str) -> int:
    """Return the partition of an idempotency key, from 0 to ``PARTITION_COUNT - 1``.

    >>> partition_of(team="shop", key="order-1") == partition_of(team="shop", key="order-1")
    True
    """
    return xxhash.xxh3_64_intdigest(f"{team}\0{key}".encode()) % PARTITION_COUNT


def stream_name(*, service: str, partition: int) -> str:
    """Return the log stream of a partition.

    >>> stream_name(service="booking", partition=7)
    'claims.booking.7'
    """
    return f"claims.{service}.{partition}"


def rank_owners(*, service: str, partition: int, servers: Iterable[str]) -> list[str]:
    """Order the servers of a service by preference for owning a partition."""
    return rank_members(stream_name(service=service, partition=partition), servers)


def key_digest(*, team: str, key: str) -> bytes:
    """Return the 16-byte digest under which a key is stored.

    The hash is cryptographic, so no team can construct a key that collides with another team's key.
    """
    return hashlib.blake2b(f"{team}\0{key}".encode(), digest_size=DIGEST_BYTES).digest()


def request_digest(*, operation: str, body: bytes) -> bytes:
    """Return a 16-byte digest of the request, to detect reuse of a key for a different request."""
    hasher = hashlib.blake2b(operation.encode() + b"\0", digest_size=DIGEST_BYTES)
    hasher.update(body)
    return hasher.digest()
