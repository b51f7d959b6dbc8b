"""Notices that peers close connections from which nothing is read."""

from __future__ import annotations

import asyncio
import select
import weakref
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_RESET = select.EPOLLHUP | select.EPOLLERR
_watches: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, CloseWatch] = (
    weakref.WeakKeyDictionary()
)


class CloseWatch:
    """Calls back once the peer of a watched socket has closed it.

    asyncio takes a transport that is paused out of its selector, and would see the close behind
    unread bytes only. The sockets are polled for ``EPOLLRDHUP`` alone, so unread bytes wake nobody.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[bool], None]] = {}
        loop.add_reader(self._epoll.fileno(), self._on_closed)

    @classmethod
    def of_running_loop(cls) -> CloseWatch:
        """Return the watch that all connections of the running event loop share."""
        loop = asyncio.get_running_loop()
        watch = _watches.get(loop)
        if watch is None:
            watch = _watches[loop] = cls(loop=loop)
        return watch

    def add(self, descriptor: int, callback: Callable[[bool], None]) -> None:
        """Watch a socket that is not watched yet.

        :param callback: Called once, with whether the connection was reset.
        """
        self._callbacks[descriptor] = callback
        self._epoll.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)

    def remove(self, descriptor: int) -> None:
        """Watch a socket no more; has to be called before it is closed."""
        if self._callbacks.pop(descriptor, None) is not None:
            self._epoll.unregister(descriptor)

    def _on_closed(self) -> None:
        for descriptor, event in self._epoll.poll(0):
            callback = self._callbacks.get(descriptor)
            if callback is not None:
                callback(bool(event & _RESET))
