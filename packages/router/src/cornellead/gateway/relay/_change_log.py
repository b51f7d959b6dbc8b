"""Newest notices of one topic, with the offsets of their last changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import DataCentreNotice
from cornellead_core.routing import EntryCount
from cornellead_core.routing import Notice
from cornellead_core.routing import Position
from cornellead_core.routing import QuarantineNotice
from cornellead_core.routing import RolloutNotice
from cornellead_core.routing import RolloutOrderNotice
from cornellead_core.routing import RouterNotice
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import are_different

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

REMOVAL_RETENTION_S = 60.0
"""Retention of removals. A router that has not read for longer gets a snapshot instead of the
changes."""


class RelayPage(NamedTuple):
    """Response to a read at another router."""

    notices: list[Notice]
    next_offset: int
    """Store offset of the next read, valid at any router and at the store itself."""
    snapshot: bool
    """Whether the notices are a snapshot that replaces all earlier notices."""
    age_s: float
    """Time since the store confirmed the notices."""
    era: int = UNKNOWN_ERA
    """History of the store that the notices and the offset belong to."""
    counts: tuple[EntryCount, ...] = ()
    """Latest writes of the servers that the notices name and, in a snapshot, of those that were
    removed recently."""

    @property
    def position(self) -> Position:
        """Where to continue reading."""
        return Position(self.next_offset, self.era)


class _Change(NamedTuple):
    offset: int
    recorded_at: float
    notice: Notice


class ChangeLog:
    """Keeps the newest notice of each writer and discards renewals that change nothing.

    The store may execute a write late, after a later one of the same server. An entry with a lower
    count than one before is not passed on. Routers that read here learn the counts of changes and
    removals only, with which they recognize late writes once they read the store themselves.

    Offsets are those of the store, so a client can continue at any other router.

    >>> log = ChangeLog()
    >>> log.replace([ServerNotice("s1", None, False)], Position(5, era=1), now=0.0)
    >>> log.add([ServerNotice("s1", None, False)], Position(6, era=1), now=1.0)
    >>> log.read(Position(5, era=1), now=1.5)
    RelayPage(notices=[], next_offset=6, snapshot=False, age_s=0.5, era=1, counts=())
    >>> log.read(Position(2, era=1), now=1.5).snapshot
    True
    """

    def __init__(self) -> None:
        self._changes: dict[str, _Change] = {}
        self._counts: dict[str, EntryCount] = {}
        """Latest known write of each server that is listed or was removed recently."""
        self._oldest_offset = 0
        self._next: Position | None = None
        self._confirmed_at = 0.0
        self._changed = asyncio.Event()
        self.from_store = False
        """Whether the router reads the topic from the store itself, so that others may rely on it.
        Two routers that read from each other would both stop receiving changes."""

    @property
    def loaded(self) -> bool:
        """Whether the log has received a snapshot or changes."""
        return self._next is not None

    def replace(self, notices: Sequence[Notice], position: Position, *, now: float) -> None:
        """Replace the log with the newest notices of all writers.

        :param position: Position after the last notice.
        :param now: Seconds.
        """
        previous, self._changes = self._changes, {}
        self._oldest_offset = position.offset
        for notice in notices:
            writer = _writer(notice)
            if not self._is_late(notice, previous):
                self._changes[writer] = _Change(position.offset - 1, now, self._count(notice))
            elif writer in previous and not _is_removal(previous[writer].notice):
                self._changes[writer] = _Change(position.offset - 1, now, previous[writer].notice)
        self._keep_removals(previous, position, now=now)
        self._record_confirmation(position, now=now)

    def add(
        self, notices: Sequence[Notice], position: Position, *, now: float, complete: bool = True
    ) -> None:
        """Apply later notices.

        :param position: Position after the last notice.
        :param now: Seconds.
        :param complete: Whether the store had no further notices.
        """
        for notice in notices:
            if self._is_late(notice, self._changes):
                continue
            counted = self._count(notice)
            previous = self._changes.get(_writer(notice))
            if previous is None or previous.notice != counted:
                self._changes[_writer(notice)] = _Change(position.offset - 1, now, counted)
        self._evict_removals(now)
        self._record_confirmation(position, now=now if complete else self._confirmed_at)

    def read(self, position: Position | None, *, now: float) -> RelayPage | None:
        """Return the changes since a position, or a snapshot if it is too old or of another era.

        :param position: ``None`` for a snapshot.
        :returns: ``None`` if the log is still empty.
        """
        if self._next is None:
            return None
        age_s = now - self._confirmed_at
        end, era = self._next
        if (
            position is None
            or position.offset < self._oldest_offset
            or are_different(position.era, era)
        ):
            notices = [c.notice for c in self._changes.values() if not _is_removal(c.notice)]
            return RelayPage(notices, end, True, age_s, era, tuple(self._counts.values()))
        changes = [c for c in self._changes.values() if c.offset >= position.offset]
        changes.sort(key=lambda change: change.offset)
        notices = [change.notice for change in changes]
        counts = self.counts_of(n.server for n in notices if isinstance(n, ServerNotice))
        return RelayPage(notices, max(position.offset, end), False, age_s, era, counts)

    @property
    def listed(self) -> set[str]:
        """Writers whose newest notice is no removal."""
        return {w for w, change in self._changes.items() if not _is_removal(change.notice)}

    def ended_counts(self) -> tuple[EntryCount, ...]:
        """Return the latest known writes of the servers that were removed recently."""
        removed = [w for w, change in self._changes.items() if _is_removal(change.notice)]
        return self.counts_of(removed)

    def counts_of(self, servers: Iterable[str]) -> tuple[EntryCount, ...]:
        """Return the latest known writes of servers."""
        return tuple(self._counts[name] for name in servers if name in self._counts)

    def record_counts(self, counts: Iterable[EntryCount], *, now: float) -> None:
        """Record writes that another router knows, unless later ones are known.

        :param now: Seconds.
        """
        for count in counts:
            known = self._counts.get(count.server)
            if known is None or known.started_ms < count.started_ms or _is_later(count, known):
                self._counts[count.server] = count
            if count.server not in self._changes:
                removal = ServerNotice(count.server, None, removed=True)
                self._changes[count.server] = _Change(0, now, removal)

    def set_from_store(self, from_store: bool) -> None:
        """Set `from_store` and end all waits if the store was lost."""
        lost = self.from_store and not from_store
        self.from_store = from_store
        if lost:
            self._wake()

    async def wait(self, position: Position, *, timeout_s: float) -> None:
        """Wait until the log has notices beyond a position or of another era, the store is lost, or
        the timeout expires.

        Returns immediately if the log is still empty.

        :param timeout_s: Maximum wait in seconds.
        """
        if (
            self._next is None
            or self._next.offset > position.offset
            or are_different(self._next.era, position.era)
        ):
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _is_late(self, notice: Notice, recorded: Mapping[str, _Change]) -> bool:
        """Return whether a later entry of the same start of the server was recorded, or the same
        one before its removal."""
        if not isinstance(notice, ServerNotice) or notice.entry is None:
            return False
        known, entry = self._counts.get(notice.server), notice.entry
        if known is None or known.started_ms != entry.started_ms or not entry.sequence:
            return False
        if entry.sequence == known.sequence:
            return notice.server in recorded and _is_removal(recorded[notice.server].notice)
        return entry.sequence < known.sequence

    def _count(self, notice: Notice) -> Notice:
        """Record the count of an entry, and return the notice without it: each renewal differs."""
        if not isinstance(notice, ServerNotice) or notice.entry is None:
            return notice
        entry = notice.entry
        if entry.sequence and entry.started_ms > 0:
            self._counts[notice.server] = EntryCount(
                notice.server, entry.started_ms, entry.sequence
            )
        elif not entry.started_ms > 0:
            self._counts.pop(notice.server, None)
        return notice._replace(entry=entry._replace(sequence=0))

    def _keep_removals(
        self, previous: dict[str, _Change], position: Position, *, now: float
    ) -> None:
        """Keep the servers of the previous notices that a snapshot does not list, as removed."""
        for writer, change in previous.items():
            if writer in self._changes or not isinstance(change.notice, ServerNotice):
                continue
            if _is_removal(change.notice):
                self._changes[writer] = change
            else:
                removal = ServerNotice(writer, None, removed=True)
                self._changes[writer] = _Change(position.offset - 1, now, removal)

    def _record_confirmation(self, position: Position, *, now: float) -> None:
        advanced = (
            self._next is None
            or position.offset > self._next.offset
            or position.era != self._next.era
        )
        self._next = position
        self._confirmed_at = now
        if advanced:
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _evict_removals(self, now: float) -> None:
        expired = [
            (writer, change.offset)
            for writer, change in self._changes.items()
            if _is_removal(change.notice) and now - change.recorded_at > REMOVAL_RETENTION_S
        ]
        for writer, offset in expired:
            del self._changes[writer]
            self._counts.pop(writer, None)
            self._oldest_offset = max(self._oldest_offset, offset + 1)


def _is_later(count: EntryCount, known: EntryCount) -> bool:
    return count.started_ms == known.started_ms and (
        count.sequence > known.sequence or (count.sequence == known.sequence and count.left)
    )


def _writer(notice: Notice) -> str:
    if isinstance(notice, ServerNotice):
        return notice.server
    if isinstance(notice, RouterNotice):
        return notice.router
    if isinstance(notice, QuarantineNotice):
        return f"part/{notice.part}"
    if isinstance(notice, DataCentreNotice):
        return f"data_centre/{notice.data_centre}"
    if isinstance(notice, RolloutOrderNotice | RolloutNotice):
        return f"rollout/{notice.service}"
    return "configuration"


def _is_removal(notice: Notice) -> bool:
    if isinstance(notice, ServerNotice):
        return notice.removed
    if isinstance(notice, RouterNotice):
        return notice.location is None
    if isinstance(notice, QuarantineNotice):
        return notice.mark is None
    if isinstance(notice, RolloutOrderNotice):
        return notice.order is None
    return isinstance(notice, DataCentreNotice) and not notice.out
