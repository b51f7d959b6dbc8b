"""Which servers keep which parts of prompts."""

from __future__ import annotations

from collections import OrderedDict

MAX_PARTS = 20_000
"""Parts that are remembered: more than return within minutes at one of several hundred routers."""
TRUST_S = 60.0
"""Age up to which a server is believed to keep a part that it read."""


class PromptDirectory:
    """Remembers where this router's requests had shared parts of prompts read.

    >>> directory = PromptDirectory()
    >>> directory.record("part", "s1", now=0.0)
    >>> directory.record("part", "s2", now=1.0)
    >>> directory.holders("part", now=2.0)
    ['s2', 's1']
    >>> directory.forget_server("s2")
    >>> directory.holders("part", now=2.0)
    ['s1']
    """

    def __init__(self) -> None:
        self._read_at: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record(self, part: str, server: str, *, now: float) -> None:
        """Note that a server read a part.

        :param now: Seconds.
        """
        self._read_at.setdefault(part, {})[server] = now
        self._read_at.move_to_end(part)
        if len(self._read_at) > MAX_PARTS:
            self._read_at.popitem(last=False)

    def holders(self, part: str, *, now: float) -> list[str]:
        """Return the servers that should keep a part, the one that used it last first."""
        read_at = self._read_at.get(part, {})
        fresh = [(at, server) for server, at in read_at.items() if now - at <= TRUST_S]
        return [server for _, server in sorted(fresh, reverse=True)]

    def forget_server(self, server: str) -> None:
        """Drop what a server kept: it ended or started again."""
        for read_at in self._read_at.values():
            read_at.pop(server, None)
