"""Time limit for callers that do not read their responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

UNREAD_TIMEOUT_S = 20.0
"""Time without a byte being read by the caller after which its unread responses are given up. It is
longer than the longest deadline of a request, 15 s."""
UNREAD_CHECKS = 4
"""Checks within that time. Checks are counted, so that a suspension of the host counts as one."""


class UnreadWatch:
    """Checks regularly whether a caller reads, from `start` until nothing is unread.

    :param read_size: Returns the unread bytes.
    :param on_check: Called after each check, with the watch stopped if nothing is unread.
    :param on_stalled: Called instead if nothing was read for the whole time.
    """

    def __init__(
        self,
        *,
        timeout_s: float,
        read_size: Callable[[], int],
        on_check: Callable[[], None],
        on_stalled: Callable[[], None],
    ) -> None:
        self._timeout_s = timeout_s
        self._read_size = read_size
        self._on_check = on_check
        self._on_stalled = on_stalled
        self._timer: asyncio.TimerHandle | None = None
        self._size = 0
        self._checks = 0
        """Checks in a row at which nothing had been read."""

    def start(self) -> None:
        """Start to check, unless that was done."""
        if self._timer is None:
            self._checks = 0
            self._wait()

    def record_progress(self) -> None:
        """Start the time anew, since the caller reads."""
        self._checks = 0

    def stop(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait(self) -> None:
        self._size = self._read_size()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._timeout_s / UNREAD_CHECKS, self._check)

    def _check(self) -> None:
        self._timer = None
        size = self._read_size()
        self._checks = self._checks + 1 if size == self._size else 0
        if size and self._checks >= UNREAD_CHECKS:
            self._on_stalled()
            return
        if size:
            self._wait()
        self._on_check()
