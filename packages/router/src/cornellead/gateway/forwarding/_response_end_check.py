"""Check of responses that end with their connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead_core.close_delimited import CHECK_TIMEOUT_S
from cornellead_core.close_delimited import CLOSE_PROOF_S
from cornellead_core.close_delimited import MAX_SHARE_OF_TIME_LEFT
from cornellead_core.close_delimited import ListenerState
from cornellead_core.close_delimited import ResponseEnd
from cornellead_core.close_delimited import judge_end

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._attempt import Attempt
    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import ServerRegistry
    from cornellead.upstream import ConnectionPool


class ResponseEndCheck:
    """Finds out whether a response that has neither a length nor chunks is whole.

    The connections of a killed process close as after a whole response, so the router asks whether
    the server still listens, and logs what it found.
    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        servers: ServerRegistry,
        stats: GatewayStats,
        clock: Callable[[], float],
    ) -> None:
        self._pool = pool
        self._servers = servers
        self._stats = stats
        self._clock = clock

    def watch(self, admitted: AdmittedRequest, attempt: Attempt) -> None:
        """Judge the end of a response as soon as its connection has closed, since a caller may read
        so slowly that the server listens again before the last event is written."""

        def start() -> None:
            attempt.end_check = asyncio.create_task(self._judge(admitted, attempt))

        attempt.exchange.set_closed_callback(start)

    async def wait(self, attempt: Attempt) -> ResponseEnd | None:
        """Return the judgement of a complete response.

        :returns: ``None`` if its length or its chunks show that it is whole.
        """
        if attempt.end_check is None:
            return None
        attempt.record_end(now=self._clock())
        return await attempt.end_check

    async def _judge(self, admitted: AdmittedRequest, attempt: Attempt) -> ResponseEnd:
        state, closed_at = attempt.state, self._clock()
        time_left_s = admitted.attempts.time_left_s(now=closed_at)
        listener = await self._pool.check_listener(
            state.entry.address,
            timeout_s=min(CHECK_TIMEOUT_S, MAX_SHARE_OF_TIME_LEFT * time_left_s),
        )
        leaving = self._servers.is_leaving(state)
        if listener is ListenerState.CLOSED and leaving:
            # Other responses of a killed process may break off a moment later.
            await asyncio.sleep(closed_at + CLOSE_PROOF_S - self._clock())
        broke_others = state.broke_off_at >= closed_at - CLOSE_PROOF_S
        end = judge_end(listener, leaving=leaving, broke_others=broke_others)
        self._stats.count_decision(f"response_end_{end}")
        if end is not ResponseEnd.WHOLE:
            structlog.get_logger().info(
                "response ended with its connection",
                request=admitted.caller.request_id,
                server=state.entry.server,
                end=end.value,
                listener=listener.value,
                leaving=leaving,
                broke_others=broke_others,
                checked_ms=round((self._clock() - closed_at) * 1000),
            )
        return end
