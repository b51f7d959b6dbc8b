"""Prompt cache in the memory of one emulated server."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cornellead_core.routing import PromptPart


class PromptCache:
    """LRU cache of prompt parts.

    >>> from cornellead_core.routing import PromptPart
    >>> cache = PromptCache()
    >>> cache.touch([PromptPart("a", 10), PromptPart("b", 20)])
    >>> cache.cached_prefix([PromptPart("a", 10), PromptPart("c", 5)])
    1
    >>> cache.evict_to(25)
    >>> cache.tokens, "a" in cache
    (20, False)
    """

    def __init__(self) -> None:
        self._parts: OrderedDict[str, int] = OrderedDict()
        self.tokens = 0
        """Tokens of all cached parts."""

    def __contains__(self, part: str) -> bool:
        return part in self._parts

    def cached_prefix(self, parts: Sequence[PromptPart]) -> int:
        """Return the length of the longest cached prefix, as a number of parts."""
        for index, part in enumerate(parts):
            if part.part not in self._parts:
                return index
        return len(parts)

    def touch(self, parts: Iterable[PromptPart]) -> None:
        """Add parts that are not cached yet and mark all of them as most recently used."""
        for part in parts:
            if part.part not in self._parts:
                self.tokens += part.tokens
                self._parts[part.part] = part.tokens
            self._parts.move_to_end(part.part)

    def evict_to(self, max_tokens: int) -> None:
        """Evict the least recently used parts until at most ``max_tokens`` are cached."""
        while self.tokens > max(0, max_tokens):
            _, tokens = self._parts.popitem(last=False)
            self.tokens -= tokens
