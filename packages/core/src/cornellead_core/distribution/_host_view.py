"""One process's copy of the host list and how it changes."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
import xxhash

from cornellead_core.wire import HostChanges
from cornellead_core.wire import HostDigest
from cornellead_core.wire import HostSnapshot

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornellead_core.platform import HostEntry

NEVER_MS = 1 << 40
"""Age of a list that no process read yet."""

_encoder = msgspec.msgpack.Encoder()


class Taken(StrEnum):
    """What became of changes that a peer sent."""

    APPLIED = "applied"
    KNOWN = "known"
    STALE = "stale"


def digest_hosts(hosts: Iterable[HostEntry]) -> int:
    """Return the 64-bit digest of a list, independent of its order; 0 for an empty list."""
    entries = sorted(hosts)
    return xxhash.xxh3_64_intdigest(_encoder.encode(entries)) if entries else 0


class HostView:
    """The host list as this process knows it.

    Lists have no version of their own, so of two that differ the one whose last change a read of
    the platform showed later is taken. Messages carry ages, so clocks need not be synchronised.
    All times are monotonic seconds of the local host.
    """

    def __init__(self) -> None:
        self._entries: dict[str, HostEntry] = {}
        self._fetched: dict[str, HostEntry] | None = None
        self._digest = 0
        self._changed_at: float | None = None
        self._read_at: float | None = None

    @property
    def hosts(self) -> tuple[HostEntry, ...]:
        """The list in a stable order."""
        return tuple(sorted(self._entries.values()))

    def digest(self, *, now: float) -> HostDigest:
        """Return the digest message for a peer."""
        return HostDigest(
            self._digest, _age_ms(self._changed_at, now=now), _age_ms(self._read_at, now=now)
        )

    def snapshot(self, *, now: float) -> HostSnapshot:
        """Return the whole list for a peer."""
        return HostSnapshot(self.digest(now=now), list(self.hosts))

    def take_list(self, hosts: Iterable[HostEntry], *, now: float) -> HostChanges | None:
        """Take the list read from the platform.

        Only a difference from this process's previous read is a change. A replica of the platform's
        list that lags behind another then does not undo what the other one showed.

        :returns: The changes to pass on, or ``None`` if there are none.
        """
        fetched = {host.name: host for host in hosts}
        known = self._entries if self._fetched is None else self._fetched
        self._fetched = fetched
        self._read_at = now
        upserts = [host for name, host in fetched.items() if known.get(name) != host]
        removed = sorted(known.keys() - fetched.keys())
        if not self._update(upserts, removed):
            return None
        self._changed_at = now
        return HostChanges(self.digest(now=now), upserts, removed)

    def take_changes(self, changes: HostChanges, *, now: float) -> Taken:
        """Apply a peer's changes.

        Changes of another list are applied too, so that a leaving host is known at once; a later
        comparison of digests repairs what then still differs.
        """
        if changes.digest.digest == self._digest:
            self.confirm(changes.digest, now=now)
            return Taken.KNOWN
        if not self._is_later(changes.digest, now=now):
            return Taken.STALE
        if not self._update(changes.upserts, changes.removed):
            return Taken.KNOWN
        self._changed_at = now - changes.digest.changed_ms / 1000
        self.confirm(changes.digest, now=now)
        return Taken.APPLIED

    def confirm(self, digest: HostDigest, *, now: float) -> None:
        """Note that a peer's equal list was confirmed by a later read."""
        if digest.digest == self._digest and digest.read_ms < _age_ms(self._read_at, now=now):
            self._read_at = now - digest.read_ms / 1000

    def take_snapshot(self, snapshot: HostSnapshot, *, now: float) -> bool:
        """Replace the list by a peer's that changed later.

        :returns: Whether the list changed.
        """
        digest = snapshot.digest
        if not snapshot.hosts or digest_hosts(snapshot.hosts) != digest.digest:
            return False
        if digest.digest == self._digest:
            self.confirm(digest, now=now)
            return False
        if not self._is_later(digest, now=now):
            return False
        self._replace({host.name: host for host in snapshot.hosts})
        self._changed_at = now - digest.changed_ms / 1000
        self._read_at = now - digest.read_ms / 1000
        return True

    def replaces(self, theirs: HostDigest, *, now: float) -> bool:
        """Return whether a peer with this digest should take the whole list from here."""
        if self._digest in (0, theirs.digest):
            return False
        return _age_ms(self._changed_at, now=now) < theirs.changed_ms

    def read_age_s(self, *, now: float) -> float:
        """Return the time since a process read this list from the platform, in seconds."""
        return _age_ms(self._read_at, now=now) / 1000

    def _is_later(self, theirs: HostDigest, *, now: float) -> bool:
        return theirs.changed_ms < _age_ms(self._changed_at, now=now)

    def _update(self, upserts: Iterable[HostEntry], removed: Iterable[str]) -> bool:
        entries = {**self._entries, **{host.name: host for host in upserts}}
        for name in removed:
            entries.pop(name, None)
        if entries == self._entries:
            return False
        self._replace(entries)
        return True

    def _replace(self, entries: dict[str, HostEntry]) -> None:
        self._entries = entries
        self._digest = digest_hosts(entries.values())


def _age_ms(at: float | None, *, now: float) -> int:
    return NEVER_MS if at is None else max(0, round((now - at) * 1000))
