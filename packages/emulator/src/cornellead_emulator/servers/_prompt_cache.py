"""Cached parts of prompts in the memory of one server."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cornellead_core.routing import PromptPart


class PromptCache:
    """Parts by their identity; those that were not used for the longest time yield first.

    >>> from cornellead_core.routing import PromptPart
    >>> cache = PromptCache()
    >>> cache.keep([PromptPart("a", 10), PromptPart("b", 20)])
    >>> cache.cached_prefix([PromptPart("a", 10), PromptPart("c", 5)])
    1
    >>> cache.shrink(25)
    >>> cache.tokens, "a" in cache
    (20, False)
    """

    def __init__(self) -> None:
        self._parts: OrderedDict[str, int] = OrderedDict()
        self.tokens = 0
        """Tokens of all parts."""

    def __contains__(self, part: str) -> bool:
        return part in self._parts

    def cached_prefix(self, parts: Sequence[PromptPart]) -> int:
        """Return how many of the first parts are cached without a gap."""
        for number, part in enumerate(parts):
            if part.part not in self._parts:
                return number
        return len(parts)

    def keep(self, parts: Iterable[PromptPart]) -> None:
        """Note that parts were read or used."""
        for part in parts:
            if part.part not in self._parts:
                self.tokens += part.tokens
                self._parts[part.part] = part.tokens
            self._parts.move_to_end(part.part)

    def shrink(self, most_tokens: int) -> None:
        """Drop the parts that were not used for the longest time."""
        while self.tokens > max(0, most_tokens):
            _, tokens = self._parts.popitem(last=False)
            self.tokens -= tokens
