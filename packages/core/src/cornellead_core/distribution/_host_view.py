"""Replica of the host list in one process, and how replicas are reconciled."""

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

NEVER_READ_AGE_MS = 1 << 40
"""Age of a list that was never read from the platform; higher than any real age."""

_encoder = msgspec.msgpack.Encoder()


class ChangeResult(StrEnum):
    """Result of applying changes that a peer sent."""

    APPLIED = "applied"
    KNOWN = "known"
    STALE = "stale"


def digest_hosts(hosts: Iterable[HostEntry]) -> int:
    """Return the 64-bit digest of a list in any order; 0 for an empty list."""
    entries = sorted(hosts)
    return xxhash.xxh3_64_intdigest(_encoder.encode(entries)) if entries else 0


class HostView:
    """Replica of the host list in this process.

    The platform's list has no version number. When two replicas differ, the one whose last change
    was read from the platform more recently wins. Messages carry ages instead of timestamps, so
    host clocks don't have to be synchronised. All times are monotonic seconds of the local host.
    """

    def __init__(self) -> None:
        self._entries: dict[str, HostEntry] = {}
        self._last_fetched: dict[str, HostEntry] | None = None
        self._digest = 0
        self._changed_at: float | None = None
        self._read_at: float | None = None

    @property
    def hosts(self) -> tuple[HostEntry, ...]:
        """All entries in sorted order."""
        return tuple(sorted(self._entries.values()))

    def digest(self, *, now: float) -> HostDigest:
        """Return the digest and the ages of this list as a message."""
        return HostDigest(
            self._digest, _age_ms(self._changed_at, now=now), _age_ms(self._read_at, now=now)
        )

    def snapshot(self, *, now: float) -> HostSnapshot:
        """Return the whole list as a message."""
        return HostSnapshot(self.digest(now=now), list(self.hosts))

    def apply_fetched_list(self, hosts: Iterable[HostEntry], *, now: float) -> HostChanges | None:
        """Apply a list that was read from the platform.

        The list is compared with this process's previous read, not with its entries. Otherwise
        a read from a lagging replica of the platform's list would undo changes that another process
        has already read from an up-to-date replica.

        :returns: The changes to push to peers, or ``None`` if there are none.
        """
        fetched = {host.name: host for host in hosts}
        previous = self._entries if self._last_fetched is None else self._last_fetched
        self._last_fetched = fetched
        self._read_at = now
        upserts = [host for name, host in fetched.items() if previous.get(name) != host]
        removed = sorted(previous.keys() - fetched.keys())
        if not self._update(upserts, removed):
            return None
        self._changed_at = now
        return HostChanges(self.digest(now=now), upserts, removed)

    def apply_changes(self, changes: HostChanges, *, now: float) -> ChangeResult:
        """Apply changes that a peer pushed.

        They are applied even if the peer's list differed from this one before, so that the
        state of a leaving host is updated without delay. A later comparison of digests repairs
        remaining differences.
        """
        if changes.digest.digest == self._digest:
            self.update_read_time(changes.digest, now=now)
            return ChangeResult.KNOWN
        if not self._changed_later(changes.digest, now=now):
            return ChangeResult.STALE
        if not self._update(changes.upserts, changes.removed):
            return ChangeResult.KNOWN
        self._changed_at = now - changes.digest.change_age_ms / 1000
        self.update_read_time(changes.digest, now=now)
        return ChangeResult.APPLIED

    def update_read_time(self, digest: HostDigest, *, now: float) -> None:
        """Adopt a peer's time of the last read if its list is equal and was read later."""
        if digest.digest == self._digest and digest.read_age_ms < _age_ms(self._read_at, now=now):
            self._read_at = now - digest.read_age_ms / 1000

    def apply_snapshot(self, snapshot: HostSnapshot, *, now: float) -> bool:
        """Replace the list by a peer's if the peer's changed later.

        An empty list, or one that does not match its digest, is ignored.

        :returns: Whether the list was replaced.
        """
        digest = snapshot.digest
        if not snapshot.hosts or digest_hosts(snapshot.hosts) != digest.digest:
            return False
        if digest.digest == self._digest:
            self.update_read_time(digest, now=now)
            return False
        if not self._changed_later(digest, now=now):
            return False
        self._replace({host.name: host for host in snapshot.hosts})
        self._changed_at = now - digest.change_age_ms / 1000
        self._read_at = now - digest.read_age_ms / 1000
        return True

    def supersedes(self, theirs: HostDigest, *, now: float) -> bool:
        """Return whether this list differs from a peer's and changed later than it."""
        if self._digest in (0, theirs.digest):
            return False
        return _age_ms(self._changed_at, now=now) < theirs.change_age_ms

    def read_age_s(self, *, now: float) -> float:
        """Return the time since any process last read this list from the platform, in seconds."""
        return _age_ms(self._read_at, now=now) / 1000

    def _changed_later(self, theirs: HostDigest, *, now: float) -> bool:
        return theirs.change_age_ms < _age_ms(self._changed_at, now=now)

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
    return NEVER_READ_AGE_MS if at is None else max(0, round((now - at) * 1000))
