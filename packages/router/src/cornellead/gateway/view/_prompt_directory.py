"""Which servers have which prompt prefixes cached."""

from __future__ import annotations

from collections import OrderedDict

MAX_PREFIXES = 20_000
"""Capacity in prefixes: more than are reused within minutes at one of several hundred routers."""
HOLDER_MAX_AGE_S = 60.0
"""Time after a request for which its server is assumed to still have the prefix cached."""


class PromptDirectory:
    """Records the servers that processed each shared prompt prefix for this router.

    The least recently recorded prefix is evicted when the directory is full.

    >>> directory = PromptDirectory()
    >>> directory.record("prefix", "s1", now=0.0)
    >>> directory.record("prefix", "s2", now=1.0)
    >>> directory.holders("prefix", now=2.0)
    ['s2', 's1']
    >>> directory.remove_server("s2")
    >>> directory.holders("prefix", now=2.0)
    ['s1']
    """

    def __init__(self) -> None:
        self._used_at: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record(self, prefix: str, server: str, *, now: float) -> None:
        """Record that a server processed a prefix.

        :param now: Seconds.
        """
        self._used_at.setdefault(prefix, {})[server] = now
        self._used_at.move_to_end(prefix)
        if len(self._used_at) > MAX_PREFIXES:
            self._used_at.popitem(last=False)

    def holders(self, prefix: str, *, now: float) -> list[str]:
        """Return the servers expected to have the prefix cached, the most recently used first."""
        used_at = self._used_at.get(prefix, {})
        fresh = [(at, server) for server, at in used_at.items() if now - at <= HOLDER_MAX_AGE_S]
        return [server for _, server in sorted(fresh, reverse=True)]

    def remove_server(self, server: str) -> None:
        """Remove a server that ended or restarted and so lost its cache."""
        for used_at in self._used_at.values():
            used_at.pop(server, None)
