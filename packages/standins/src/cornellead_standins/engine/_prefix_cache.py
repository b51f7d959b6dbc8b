"""LRU cache of prompt prefixes in blocks of tokens."""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence


class CacheChange(NamedTuple):
    """A change of the cached chats; ``kind`` is ``stored`` or ``removed``."""

    kind: str
    key: str


class PrefixCache:
    """Blocks of prefixes with reference counts; evicts the least recently used chats.

    A block is identified by the hash of all tokens up to its end, so chats with equal prefixes
    share blocks.

    :param capacity: Maximum number of blocks.
    :param block_tokens: Tokens per block.

    >>> cache = PrefixCache(capacity=4, block_tokens=2)
    >>> cache.store("a", ["1", "2", "3", "4", "5"])
    [CacheChange(kind='stored', key='a')]
    >>> cache.match(["1", "2", "3", "9"]), cache.block_count
    (2, 2)
    """

    def __init__(self, *, capacity: int, block_tokens: int) -> None:
        self._capacity = capacity
        self._block_tokens = block_tokens
        self._chats: OrderedDict[str, list[int]] = OrderedDict()
        self._reference_counts: Counter[int] = Counter()

    @property
    def block_count(self) -> int:
        """Number of distinct blocks in the cache."""
        return len(self._reference_counts)

    def match(self, tokens: Sequence[str]) -> int:
        """Return the number of leading tokens that are cached, in whole blocks."""
        count = 0
        for block in self._hash_blocks(tokens):
            if block not in self._reference_counts:
                break
            count += 1
        return count * self._block_tokens

    def store(self, key: str, tokens: Sequence[str]) -> list[CacheChange]:
        """Store the whole blocks of a chat, evict chats above the capacity, return all changes."""
        return self.import_blocks(key, self._hash_blocks(tokens))

    def export_blocks(self, key: str) -> list[int] | None:
        """Return the block hashes of a chat, or ``None`` when the chat is not cached."""
        return self._chats.get(key)

    def import_blocks(self, key: str, blocks: list[int]) -> list[CacheChange]:
        """Store blocks computed by this or another engine; returns all changes.

        Blocks above the capacity are left out; chats are evicted until the rest fits.
        """
        blocks = blocks[: self._capacity]
        previous = self._chats.get(key, [])
        self._reference_counts.update(blocks)
        self._release(previous)
        self._chats[key] = blocks
        self._chats.move_to_end(key)
        changes = [CacheChange("stored", key)]
        while len(self._reference_counts) > self._capacity:
            evicted_key, evicted_blocks = self._chats.popitem(last=False)
            self._release(evicted_blocks)
            changes.append(CacheChange("removed", evicted_key))
        return changes

    def clear(self) -> list[CacheChange]:
        """Remove all chats; returns the changes."""
        changes = [CacheChange("removed", key) for key in self._chats]
        self._chats.clear()
        self._reference_counts.clear()
        return changes

    def _release(self, blocks: list[int]) -> None:
        for block in blocks:
            self._reference_counts[block] -= 1
            if self._reference_counts[block] == 0:
                del self._reference_counts[block]

    def _hash_blocks(self, tokens: Sequence[str]) -> list[int]:
        hasher = xxhash.xxh3_64()
        hashes: list[int] = []
        for end in range(self._block_tokens, len(tokens) + 1, self._block_tokens):
            for token in tokens[end - self._block_tokens : end]:
                hasher.update(token.encode() + b"\0")
            hashes.append(hasher.intdigest())
        return hashes
