"""Rules for which process reads the log, and which appends a snapshot, at which time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.placement import rank_members

if TYPE_CHECKING:
    from cornellead_core.membership import Peers

LOG_READERS_PER_DC = 2
TAKEOVER_AGE_S = 1.2
"""Time since the last known read of the log's end after which the next process in rank reads too.

A change must be in force within 2 s even if all designated readers have just lost the log. With six
processes per data centre this causes one or two additional readers at a time, with 95 none.
"""
TAKEOVER_AGE_PER_PEER_S = 0.05
"""Added per process of the data centre, because gossip about a read reaches more peers later."""
TAKEOVER_HOLD_S = 10.0
MIN_RETRY_DELAY_S = 1.0
RETRY_DELAY_PER_RANK_S = 0.25
"""Delay per rank after a failed read; spreads the retries of many readers during an outage."""
SNAPSHOT_AGE_SHARE = 0.6
"""Share of the log's retention that the oldest needed record may reach before a snapshot is due."""
SNAPSHOT_DELAY_PER_RANK_S = 2.0
"""Delay per rank; a snapshot of a process with a lower rank is read from the log in this time."""


class LogReadPolicy:
    """Decides whether this process reads the log.

    Designated readers always read. Another process takes over when neither it nor, as far as its
    peers report, any other process has read recently. It keeps reading for `TAKEOVER_HOLD_S`.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._hold_until = float("-inf")

    def should_read(self, peers: Peers, *, log_age_s: float, now: float) -> bool:
        """Return whether to read the log now.

        :param log_age_s: Time since the last known read of the log's end by any process.
        """
        rank = log_reader_rank(peers)
        if rank < LOG_READERS_PER_DC:
            return True
        takeover_age_s = TAKEOVER_AGE_S + TAKEOVER_AGE_PER_PEER_S * (len(peers.local_peers) + rank)
        if log_age_s > takeover_age_s:
            self._hold_until = now + TAKEOVER_HOLD_S
        return now < self._hold_until


def log_reader_rank(peers: Peers) -> int:
    """Return the rank of this process among the log readers of its data centre, from 0."""
    return peers.rank(f"config/{peers.dc}", dc=peers.dc)


def retry_delay_s(peers: Peers) -> float:
    """Return the delay after a failed read of the log, in seconds."""
    return max(MIN_RETRY_DELAY_S, RETRY_DELAY_PER_RANK_S * log_reader_rank(peers))


def snapshot_rank(peers: Peers) -> int:
    """Return the rank of this process among the writers of snapshots, from 0.

    The designated log readers of all data centres come first: a process that doesn't read the log
    has no access to the log's clock.
    """
    readers = []
    for dc in sorted({host.dc for host in peers.members()}):
        names = [host.name for host in peers.members(dc=dc)]
        readers += rank_members(f"config/{dc}", names)[:LOG_READERS_PER_DC]
    if peers.name in readers:
        return rank_members("snapshot", readers).index(peers.name)
    return len(readers) + log_reader_rank(peers)


def snapshot_due_ms(*, oldest_needed_ms: int, retention_s: float) -> int:
    """Return the time at which a snapshot becomes due, in milliseconds of the log's clock.

    The caller adds `SNAPSHOT_DELAY_PER_RANK_S` per rank, so that usually only one process appends.

    :param oldest_needed_ms: Append time of the oldest record that a new process needs.

    >>> snapshot_due_ms(oldest_needed_ms=5_000, retention_s=100.0)
    65000
    """
    return oldest_needed_ms + round(1000 * SNAPSHOT_AGE_SHARE * retention_s)
