"""Callers of the soak test that keep using a connection until the gateway closes it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.soak.callers import REQUEST_TIMEOUT_S
from tests.soak.config_series import IDLE_TIMEOUTS_MS
from tests.soak.requests import Streams
from tests.soak.requests import Violation
from tests.soak.requests import connect

if TYPE_CHECKING:
    import random
    from collections import Counter
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.soak.callers import Callers
    from tests.soak.config_series import ConfigSeries
    from tests.soak.gateway_processes import GatewayProcesses
    from tests.soak.loop_delays import LoopDelays

KINDS = ("once", "many", "stream")
MAX_ELAPSED_S = 2.0
"""Time after which a request may end at its deadline or its route's timeout, which is 2.5 s."""
RECONNECT_S = 0.1
IDLE_SHARE = 0.05
"""Share of the requests that are sent when the shortest idle timeout ends."""
REUSE_FRACTION = 0.8
"""Part of the idle timeout up to which callers may reuse a connection."""
MAX_IDLE_S = 3.0
POLL_S = 0.05
REQUEST_TIMEOUT_STATUS = 408


class KeptConnection(NamedTuple):
    """Connection to a gateway process."""

    streams: Streams
    number: int
    process: asyncio.subprocess.Process

    @property
    def ended(self) -> bool:
        """Whether the gateway has closed or reset it."""
        reader = self.streams[0]
        return reader.at_eof() or reader.exception() is not None

    def close(self) -> None:
        """Close it."""
        self.streams[1].close()


class KeptCallers:
    """Sends whole requests on kept connections and checks that each one is answered.

    Planned stops excuse connections that close without an answer only, suspended gateways late
    answers only. Reloads, configuration changes, floods, faults of the store and silent servers
    excuse nothing here.

    :param runs: Executions by request id, as the servers count them.
    :param delays: Delays of the loop in which the callers run.
    :param configs: Knows the idle timeouts that may be in force.
    :param was_calm: Tells whether no fault has hit a gateway and the servers since a time.
    :param violations: Receives what was violated.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        runs: Counter[str],
        callers: Callers,
        delays: LoopDelays,
        gateways: GatewayProcesses,
        configs: ConfigSeries,
        was_calm: Callable[[int, float], bool],
        violations: list[Violation],
    ) -> None:
        self._rng = rng
        self._runs = runs
        self._callers = callers
        self._delays = delays
        self._gateways = gateways
        self._configs = configs
        self._was_calm = was_calm
        self._violations = violations
        self.checked = 0
        """Requests without a fault on their path."""
        self.reused = 0
        """Requests sent within the idle timeout, on connections to processes that went on."""

    async def send_requests(self, number: int) -> None:
        """Send requests to a gateway until cancelled, most of them close to each other."""
        conn: KeptConnection | None = None
        while True:
            await asyncio.sleep(self._choose_pause())
            if conn is None:
                conn = await self._connect(number)
            elif not await self._send_request(conn, may_cross_close=True):
                conn.close()
                conn = None

    async def send_after_idle_times(self, number: int) -> None:
        """Send requests to a gateway until cancelled, each after an idle time that is allowed."""
        while True:
            conn = await self._connect(number)
            while conn is not None and await self._rest(conn):
                if not await self._send_request(conn, may_cross_close=False):
                    break
            if conn is not None:
                conn.close()

    def _choose_pause(self) -> float:
        if self._rng.random() < IDLE_SHARE:
            return min(IDLE_TIMEOUTS_MS) / 1000 + self._rng.uniform(-0.02, 0.02)
        return self._rng.uniform(0.0, 0.03)

    async def _connect(self, number: int) -> KeptConnection | None:
        process = self._gateways.processes[number]
        try:
            streams = await connect(self._gateways.caller_addresses[number])
        except OSError:
            await asyncio.sleep(RECONNECT_S)
            return None
        if process is None or self._gateways.processes[number] is not process:
            streams[1].close()
            return None
        return KeptConnection(streams, number, process)

    async def _rest(self, conn: KeptConnection) -> bool:
        """Leave a connection idle; return whether it may be used then.

        Checks that it stays open for the idle timeout in force.
        """
        since = time.monotonic()
        pause_s = self._rng.uniform(0.0, MAX_IDLE_S)
        timeout_s = self._idle_timeout_s(conn)
        while True:
            idle_s = time.monotonic() - since
            earlier_s, timeout_s = timeout_s, self._idle_timeout_s(conn)
            if conn.ended:
                if idle_s < min(earlier_s, timeout_s) and not self._gateways.is_ending(
                    conn.process
                ):
                    detail = f"closed after {idle_s:.2f} s of {timeout_s:.1f} s"
                    delay_s = self._delays.longest_since(since - MAX_IDLE_S)
                    detail += f", loop late by {delay_s:.2f} s before or meanwhile"
                    self._report("kept open", conn, "idle", detail)
                return False
            if idle_s >= pause_s:
                return idle_s <= REUSE_FRACTION * min(earlier_s, timeout_s)
            await asyncio.sleep(min(POLL_S, pause_s - idle_s))

    def _idle_timeout_s(self, conn: KeptConnection) -> float:
        return self._configs.idle_timeout_s(conn.process.pid)

    async def _send_request(self, conn: KeptConnection, *, may_cross_close: bool) -> bool:
        """Send a request and check the answer; return whether the connection may be kept."""
        kind = self._rng.choice(KINDS)
        request_id = self._callers.new_request_id(kind)
        sent_at = time.monotonic()
        response = await self._exchange(conn.streams, kind, request_id)
        delay_s = self._delays.longest_since(sent_at)
        detail = f"{kind}, {time.monotonic() - sent_at:.2f} s, loop late by {delay_s:.2f} s, "
        detail += str(response)
        if response is None:
            if not self._gateways.was_suspended(conn.number, sent_at):
                self._report_unanswered(conn, request_id, detail)
        elif response.status == REQUEST_TIMEOUT_STATUS:
            self._report("whole request", conn, request_id, detail)
        elif response.status == 0 and not may_cross_close:
            self._report_unanswered(conn, request_id, detail)
        if not may_cross_close:
            self.reused += 1
        if response is None:
            return False
        self._callers.check_response(kind, request_id, response)
        self._check_answer(conn.number, request_id, response, sent_at)
        return response.complete and "close" not in response.head.lower()

    async def _exchange(
        self, streams: Streams, kind: str, request_id: str
    ) -> CallerResponse | None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return await self._callers.exchange(streams, kind, request_id)
        except (OSError, TimeoutError):
            return None

    def _report_unanswered(self, conn: KeptConnection, request_id: str, detail: str) -> None:
        if not self._gateways.is_ending(conn.process):
            self._report("neither answer nor refusal", conn, request_id, detail)

    def _report(self, guarantee: str, conn: KeptConnection, subject: str, detail: str) -> None:
        port = conn.streams[1].get_extra_info("sockname")[1]
        where = f"gateway-{conn.number}, process {conn.process.pid}, port {port}"
        self._violations.append(Violation(guarantee, subject, f"{where}, {detail}"))

    def _check_answer(
        self, number: int, request_id: str, response: CallerResponse, sent_at: float
    ) -> None:
        elapsed_s = time.monotonic() - sent_at
        if elapsed_s > MAX_ELAPSED_S or not self._was_calm(number, sent_at):
            return
        self.checked += 1
        if not response.complete and self._runs[request_id]:
            detail = f"ran, gateway-{number}, {elapsed_s:.2f} s, {response}"
            self._violations.append(Violation("answered", request_id, detail))
