"""Newest notices of one topic, with the offsets at which they changed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.routing import DataCentreNotice
from cornellead_core.routing import Notice
from cornellead_core.routing import RouterNotice
from cornellead_core.routing import ServerNotice

if TYPE_CHECKING:
    from collections.abc import Sequence

REMOVAL_KEPT_S = 60.0
"""Time for which a removal is kept for routers that read on; later ones get all notices anew."""


class RelayPage(NamedTuple):
    """Notices that one router passes on to another."""

    notices: list[Notice]
    next_offset: int
    """Offset of the store to read from next, at any router or at the store."""
    whole: bool
    """Whether these are the newest notices of all writers, in place of all before."""
    age_s: float
    """Time since the store confirmed them."""


class _Change(NamedTuple):
    offset: int
    at: float
    notice: Notice


class ChangeLog:
    """Keeps the newest notice of each writer and drops renewals that change nothing.

    Offsets are those of the store, so that a reader may go on at any router.

    >>> log = ChangeLog()
    >>> log.replace([ServerNotice("s1", None, False)], 5, now=0.0)
    >>> log.add([ServerNotice("s1", None, False)], 6, now=1.0)
    >>> log.read(5, now=1.5)
    RelayPage(notices=[], next_offset=6, whole=False, age_s=0.5)
    >>> log.read(2, now=1.5).whole
    True
    """

    def __init__(self) -> None:
        self._changes: dict[str, _Change] = {}
        self._oldest_offset = 0
        self._next_offset: int | None = None
        self._confirmed_at = 0.0
        self._changed = asyncio.Event()

    @property
    def known(self) -> bool:
        """Whether notices were taken."""
        return self._next_offset is not None

    def replace(self, notices: Sequence[Notice], next_offset: int, *, now: float) -> None:
        """Take the newest notices of all writers.

        :param now: Seconds.
        """
        self._changes = {}
        self._oldest_offset = next_offset
        for notice in notices:
            self._changes[_writer(notice)] = _Change(next_offset - 1, now, notice)
        self._confirm(next_offset, now=now)

    def add(self, notices: Sequence[Notice], next_offset: int, *, now: float) -> None:
        """Take later notices.

        :param next_offset: Offset after them.
        """
        for notice in notices:
            known = self._changes.get(_writer(notice))
            if known is None or known.notice != notice:
                self._changes[_writer(notice)] = _Change(next_offset - 1, now, notice)
        self._forget_removals(now)
        self._confirm(next_offset, now=now)

    def read(self, offset: int | None, *, now: float) -> RelayPage | None:
        """Return the changes from an offset on, or all notices if the offset is too old.

        :param offset: ``None`` for all notices.
        :returns: ``None`` if nothing is known yet.
        """
        if self._next_offset is None:
            return None
        age_s = now - self._confirmed_at
        if offset is None or offset < self._oldest_offset:
            notices = [c.notice for c in self._changes.values() if not _is_removal(c.notice)]
            return RelayPage(notices, self._next_offset, True, age_s)
        changes = [c for c in self._changes.values() if c.offset >= offset]
        changes.sort(key=lambda change: change.offset)
        notices = [change.notice for change in changes]
        return RelayPage(notices, max(offset, self._next_offset), False, age_s)

    async def wait(self, offset: int, *, timeout_s: float) -> None:
        """Wait until the log goes beyond an offset.

        :param timeout_s: Longest wait in seconds.
        """
        if self._next_offset is None or self._next_offset > offset:
            return
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return

    def _confirm(self, next_offset: int, *, now: float) -> None:
        grown = self._next_offset is None or next_offset > self._next_offset
        self._next_offset = next_offset
        self._confirmed_at = now
        if grown:
            self._changed.set()
            self._changed = asyncio.Event()

    def _forget_removals(self, now: float) -> None:
        old = [
            (writer, change.offset)
            for writer, change in self._changes.items()
            if _is_removal(change.notice) and now - change.at > REMOVAL_KEPT_S
        ]
        for writer, offset in old:
            del self._changes[writer]
            self._oldest_offset = max(self._oldest_offset, offset + 1)


def _writer(notice: Notice) -> str:
    if isinstance(notice, ServerNotice):
        return notice.server
    if isinstance(notice, RouterNotice):
        return notice.router
    if isinstance(notice, DataCentreNotice):
        return f"data_centre/{notice.data_centre}"
    return "configuration"


def _is_removal(notice: Notice) -> bool:
    if isinstance(notice, ServerNotice):
        return notice.removed
    if isinstance(notice, RouterNotice):
        return notice.place is None
    return isinstance(notice, DataCentreNotice) and not notice.out
