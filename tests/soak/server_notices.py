"""What the soak test's servers told gateways in their responses, and whether these keep to it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.soak.requests import Violation

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse

LEAVING_HEADER = "Server-Leaving: 1"
SERVER_HEADER = "X-Soak-Server"
"""Names the server in its responses; gateways pass it on."""
DRAIN_S = 2.0
"""Time after which no request that is sent later reaches a leaving server."""
PAUSE_LEARN_S = 0.5
MAX_PAUSE_REQUESTS = 2
"""Requests of a gateway that may reach a server during the pause it asked this gateway for."""


class _Sent(NamedTuple):
    address: str
    """Address of the gateway."""
    at: float


class _Pause:
    """Pause that a server asked a gateway for, in monotonic seconds."""

    def __init__(self, *, asked_at: float, end_at: float) -> None:
        self.asked_at = asked_at
        self.end_at = end_at
        self.requests = 0


class ServerNotices:
    """Checks what reaches leaving servers, and servers that asked for a pause.

    A gateway is known by the address to which the caller of a request was connected.

    :param was_restarted: Tells whether a gateway was started or paused since a time.
    :param was_disturbed: Tells whether a fault was on the path between a gateway and a server since
        a time.
    :param violations: Receives what was violated.
    """

    def __init__(
        self,
        *,
        was_restarted: Callable[[str, float], bool],
        was_disturbed: Callable[[str, str, float], bool],
        violations: list[Violation],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._was_restarted = was_restarted
        self._was_disturbed = was_disturbed
        self._violations = violations
        self._clock = clock
        self._sent: dict[str, _Sent] = {}
        self._leaving_since: dict[tuple[str, str], float] = {}
        """Time at which a gateway had passed on that a server is leaving, by server and gateway."""
        self._pauses: dict[tuple[str, str], list[_Pause]] = {}
        self.passed_on = 0
        """Gateways that had passed on that a server is leaving."""
        self.pauses = 0
        """Pauses that gateways were asked for."""

    def record_sent(self, address: str, request_id: str) -> None:
        """Record that a caller is about to send a request to a gateway."""
        self._sent[request_id] = _Sent(address, self._clock())

    def record_response(self, address: str, response: CallerResponse) -> None:
        """Record a response that a gateway passed on."""
        lines = [line.lower() for line in response.head.split("\r\n")]
        if LEAVING_HEADER.lower() not in lines:
            return
        prefix = f"{SERVER_HEADER.lower()}: "
        for line in lines:
            key = (line.removeprefix(prefix), address)
            if line.startswith(prefix) and key not in self._leaving_since:
                self._leaving_since[key] = self._clock()
                self.passed_on += 1

    def record_pause(self, server: str, request_id: str, pause_s: float) -> None:
        """Record that a server has refused a request and asked for a pause."""
        sent = self._sent.get(request_id)
        if sent is None:
            return
        now = self._clock()
        pause = _Pause(asked_at=now, end_at=now + pause_s)
        self._pauses.setdefault((server, sent.address), []).append(pause)
        self.pauses += 1

    def check_arrival(self, server: str, request_id: str) -> None:
        """Check whether a request may reach a server."""
        sent = self._sent.get(request_id)
        if sent is None:
            return
        key = (server, sent.address)
        leaving_since = self._leaving_since.get(key)
        if (
            leaving_since is not None
            and sent.at > leaving_since + DRAIN_S
            and not self._was_restarted(sent.address, leaving_since)
        ):
            detail = f"{sent.address} to {server}, sent {sent.at - leaving_since:.2f} s later"
            self._violations.append(Violation("leaving server", request_id, detail))
        for pause in self._pauses.get(key, ()):
            self._check_pause(pause, server, sent.address, request_id)

    def forget(self, server: str) -> None:
        """Forget what a server told: its process has ended."""
        for notices in (self._leaving_since, self._pauses):
            for key in [key for key in notices if key[0] == server]:
                del notices[key]

    def _check_pause(self, pause: _Pause, server: str, address: str, request_id: str) -> None:
        now = self._clock()
        if not pause.asked_at + PAUSE_LEARN_S < now < pause.end_at:
            return
        if self._was_restarted(address, pause.asked_at):
            return
        if self._was_disturbed(address, server, pause.asked_at):
            return
        pause.requests += 1
        if pause.requests == MAX_PAUSE_REQUESTS + 1:
            detail = f"{address} to {server}, {now - pause.asked_at:.2f} s after it asked"
            self._violations.append(Violation("pause", request_id, detail))
