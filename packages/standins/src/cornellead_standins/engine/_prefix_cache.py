"""Cache of prompt prefixes in blocks of tokens."""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence


class CacheChange(NamedTuple):
    """A chat was stored in the cache or removed from it."""

    kind: str
    key: str


class PrefixCache:
    """Blocks of prefixes, shared between chats; the least recently used chat is evicted.

    A block is identified by the hash of all tokens up to its end, so equal prefixes share blocks.

    :param capacity: Blocks that fit into memory.

    >>> cache = PrefixCache(capacity=4, block_tokens=2)
    >>> cache.store("a", ["1", "2", "3", "4", "5"])
    [CacheChange(kind='stored', key='a')]
    >>> cache.match(["1", "2", "3", "9"]), cache.blocks
    (2, 2)
    """

    def __init__(self, *, capacity: int, block_tokens: int) -> None:
        self._capacity = capacity
        self._block_tokens = block_tokens
        self._chats: OrderedDict[str, list[int]] = OrderedDict()
        self._uses: Counter[int] = Counter()

    @property
    def blocks(self) -> int:
        """Blocks in memory."""
        return len(self._uses)

    def match(self, tokens: Sequence[str]) -> int:
        """Return how many leading tokens are cached."""
        count = 0
        for block in self._chain(tokens):
            if block not in self._uses:
                break
            count += 1
        return count * self._block_tokens

    def store(self, key: str, tokens: Sequence[str]) -> list[CacheChange]:
        """Keep the tokens of a chat, evicting other chats."""
        return self.import_blocks(key, self._chain(tokens))

    def export_blocks(self, key: str) -> list[int] | None:
        """Return the blocks of a chat."""
        return self._chats.get(key)

    def import_blocks(self, key: str, blocks: list[int]) -> list[CacheChange]:
        """Keep blocks computed here or by another engine."""
        blocks = blocks[: self._capacity]
        known = self._chats.get(key, [])
        self._uses.update(blocks)
        self._release(known)
        self._chats[key] = blocks
        self._chats.move_to_end(key)
        changes = [CacheChange("stored", key)]
        while len(self._uses) > self._capacity:
            evicted, old = self._chats.popitem(last=False)
            self._release(old)
            changes.append(CacheChange("removed", evicted))
        return changes

    def clear(self) -> list[CacheChange]:
        """Lose everything."""
        changes = [CacheChange("removed", key) for key in self._chats]
        self._chats.clear()
        self._uses.clear()
        return changes

    def _release(self, blocks: list[int]) -> None:
        for block in blocks:
            self._uses[block] -= 1
            if self._uses[block] == 0:
                del self._uses[block]

    def _chain(self, tokens: Sequence[str]) -> list[int]:
        hasher = xxhash.xxh3_64()
        chain: list[int] = []
        for end in range(self._block_tokens, len(tokens) + 1, self._block_tokens):
            for token in tokens[end - self._block_tokens : end]:
                hasher.update(token.encode() + b"\0")
            chain.append(hasher.intdigest())
        return chain
