"""When a process reads the log and when it appends a snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.placement import rank_members

if TYPE_CHECKING:
    from cornellead_core.membership import Peers

TAILS_PER_DC = 2
TAKEOVER_S = 1.2
"""Age of the last read of the log's end at which the next in rank reads too.

A change must be in force within 2 s even if all designated readers have just lost the log. The
price at six processes a data centre is one or two more that read at a time; at 95 there are none.
"""
TAKEOVER_PER_PEER_S = 0.05
"""Added per process of the data centre: word of a read takes longer to reach more of them."""
TAKEOVER_HOLD_S = 10.0
RETRY_MIN_S = 1.0
RETRY_PER_RANK_S = 0.25
"""Added per rank to the pause after a failed read, so that an outage is not met by a flood."""
SNAPSHOT_AGE = 0.6
"""Share of the retention at which the oldest record that is needed is replaced by a snapshot."""
SNAPSHOT_STEP_S = 2.0
"""Wait per rank, in which the snapshot of a process before this one appears."""


class LogReadPolicy:
    """Decides whether this process reads the log; all times are monotonic seconds."""

    def __init__(self) -> None:
        self._hold_until = float("-inf")

    def reads(self, peers: Peers, *, log_age_s: float, now: float) -> bool:
        """Return whether to read the log now.

        :param log_age_s: Time since a process that this one heard of read the log's end.
        """
        rank = tail_rank(peers)
        if rank < TAILS_PER_DC:
            return True
        takeover_after_s = TAKEOVER_S + TAKEOVER_PER_PEER_S * (len(peers.near) + rank)
        if log_age_s > takeover_after_s:
            self._hold_until = now + TAKEOVER_HOLD_S
        return now < self._hold_until


def tail_rank(peers: Peers) -> int:
    """Return the position of this process among those of its data centre that read the log."""
    return peers.rank(f"config/{peers.dc}", dc=peers.dc)


def retry_pause_s(peers: Peers) -> float:
    """Return the pause after a failed read of the log."""
    return max(RETRY_MIN_S, RETRY_PER_RANK_S * tail_rank(peers))


def snapshot_rank(peers: Peers) -> int:
    """Return the position of this process among those that append snapshots.

    These are the processes that read the log; the others do not know its clock.
    """
    tails = []
    for dc in sorted({host.dc for host in peers.members()}):
        names = [host.name for host in peers.members(dc=dc)]
        tails += rank_members(f"config/{dc}", names)[:TAILS_PER_DC]
    if peers.name in tails:
        return rank_members("snapshot", tails).index(peers.name)
    return len(tails) + tail_rank(peers)


def snapshot_due_ms(*, needed_since_ms: int, retention_s: float) -> int:
    """Return from when a snapshot is due, by the clock of the log.

    Each process waits `SNAPSHOT_STEP_S` per rank longer, so that usually one appends.

    :param needed_since_ms: Append time of the oldest record that a new process needs.

    >>> snapshot_due_ms(needed_since_ms=5_000, retention_s=100.0)
    65000
    """
    return needed_since_ms + round(1000 * SNAPSHOT_AGE * retention_s)
