"""Host list whose readers see changes after a lag."""

from __future__ import annotations

from collections import deque
from typing import Any


class HostRegistry:
    """Host entries by name, with the history of the list, so that reads can return a stale list.

    >>> hosts = HostRegistry()
    >>> hosts.put("a", {"name": "a"}, now=1.0)
    >>> hosts.snapshot(now=1.2, lag_s=0.5), hosts.snapshot(now=1.6, lag_s=0.5)
    ([], [{'name': 'a'}])
    """

    def __init__(self) -> None:
        self._hosts: dict[str, dict[str, Any]] = {}
        self._history: deque[tuple[float, tuple[dict[str, Any], ...]]] = deque(maxlen=10_000)

    def put(self, name: str, entry: dict[str, Any], *, now: float) -> None:
        """Add or replace the entry of a host."""
        self._hosts[name] = entry
        self._history.append((now, tuple(self._hosts.values())))

    def delete(self, name: str, *, now: float) -> bool:
        """Remove a host; returns whether it was listed."""
        was_listed = self._hosts.pop(name, None) is not None
        self._history.append((now, tuple(self._hosts.values())))
        return was_listed

    def snapshot(self, *, now: float, lag_s: float) -> list[dict[str, Any]]:
        """Return the entries as of ``lag_s`` seconds before ``now``."""
        for changed_at, hosts in reversed(self._history):
            if changed_at <= now - lag_s:
                return list(hosts)
        return []
