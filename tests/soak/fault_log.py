"""Times of the faults that the soak test injects on the paths of requests."""

from __future__ import annotations

import time


class FaultLog:
    """Remembers when a fault last hit each gateway or the servers."""

    def __init__(self) -> None:
        self._servers_at = 0.0
        self._gateways_at: dict[int, float] = {}

    def record_servers(self) -> None:
        """Record that a fault of a server or of its network begins or ends now."""
        self._servers_at = time.monotonic()

    def record_gateway(self, number: int) -> None:
        """Record that a gateway is killed, paused or resumed now."""
        self._gateways_at[number] = time.monotonic()

    def latest_of_gateway(self, number: int) -> float:
        """Return the time at which a gateway was last killed, paused or resumed."""
        return self._gateways_at.get(number, 0.0)

    def latest(self, number: int) -> float:
        """Return the time of the latest fault on paths through a gateway, in monotonic seconds."""
        return max(self._servers_at, self._gateways_at.get(number, 0.0))
