"""How a server has answered lately."""

from __future__ import annotations

HALF_LIFE_S = 2.0
"""Age at which an outcome counts half."""
PRIOR_SUCCESSES = 2.0
"""Successes that every server is credited with, so that one failure does not condemn it."""
SILENCE_S = 1.0
"""Time without a byte on any open request after which a server counts as silent: model servers
emit events every few tens of milliseconds, plain services answer sooner."""
CONNECT_PAUSE_S = 0.5
"""Pause after a failed connection attempt: about the time of two attempts."""
LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in the running mean."""
HOLD_WEIGHT = 0.05
"""Weight of the newest stream in the running mean of their lengths, which differ widely."""


class ServerHealth:
    """Outcomes, latency and silence of one server as this router saw them.

    >>> health = ServerHealth(now=0.0)
    >>> health.success_rate(now=0.0)
    1.0
    >>> for _ in range(6):
    ...     health.count_outcome(ok=False, now=0.0)
    >>> health.success_rate(now=0.0)
    0.25
    """

    def __init__(self, *, now: float) -> None:
        self._ok = 0.0
        self._failed = 0.0
        self._decayed_at = now
        self._last_byte_at = now
        self._open_since: dict[int, float] = {}
        self._urgencies: dict[int, int] = {}
        self._paused_until = 0.0
        self.latency_s = 0.0
        """Running mean of the time to the first byte; 0 before the first response."""
        self.hold_s = 0.0
        """Running mean of the time from the first byte of a stream to its end; 0 before the
        first."""

    @property
    def in_flight(self) -> int:
        """Requests of this router at the server."""
        return len(self._open_since)

    def open(self, request: int, *, now: float, urgency: int = 0) -> None:
        """Count a request that was sent.

        :param urgency: 0 is the most urgent.
        """
        self._open_since[request] = now
        self._urgencies[request] = urgency

    def close(self, request: int) -> None:
        """Count a request that ended."""
        self._open_since.pop(request, None)
        self._urgencies.pop(request, None)

    def share_before(self, urgency: int) -> float:
        """Return the share of the open requests that a server runs before a new one."""
        if not self._urgencies:
            return 1.0
        before = sum(1 for other in self._urgencies.values() if other <= urgency)
        return before / len(self._urgencies)

    def count_byte(self, *, now: float) -> None:
        """Count bytes from the server."""
        self._last_byte_at = now

    def count_latency(self, seconds: float) -> None:
        """Count the time to a first byte."""
        if self.latency_s <= 0:
            self.latency_s = seconds
        self.latency_s += LATENCY_WEIGHT * (seconds - self.latency_s)

    def count_hold(self, seconds: float) -> None:
        """Count the time for which a stream kept its place."""
        if self.hold_s <= 0:
            self.hold_s = seconds
        self.hold_s += HOLD_WEIGHT * (seconds - self.hold_s)

    def count_outcome(self, *, ok: bool, now: float) -> None:
        """Count how a request ended at the server."""
        self._decay(now)
        if ok:
            self._ok += 1.0
        else:
            self._failed += 1.0

    def count_connect_failure(self, *, now: float) -> None:
        """Count that no connection could be opened."""
        self.count_outcome(ok=False, now=now)
        self._paused_until = now + CONNECT_PAUSE_S

    def success_rate(self, *, now: float) -> float:
        """Return the share of recent requests that succeeded, from above 0 to 1."""
        self._decay(now)
        return (self._ok + PRIOR_SUCCESSES) / (self._ok + self._failed + PRIOR_SUCCESSES)

    def responsive(self, *, now: float) -> bool:
        """Return whether the server accepts connections and answers open requests."""
        if now < self._paused_until:
            return False
        if not self._open_since:
            return True
        waiting_since = max(self._last_byte_at, min(self._open_since.values()))
        return now - waiting_since < SILENCE_S

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._decayed_at) / HALF_LIFE_S)
        self._ok *= factor
        self._failed *= factor
        self._decayed_at = now
