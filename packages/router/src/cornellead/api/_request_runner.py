"""Handling common to all requests: counters, error responses, disconnects and drain timeouts."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

from cornellead.dispatch import RequestState
from cornellead.errors import ApiError
from cornellead.errors import upstream_error

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cornellead.api._caller_connection import CallerConnection
    from cornellead.api._request_tracker import RequestTracker
    from cornellead.stats import RouterStats


class RequestRunner:
    """Runs request handlers and sends their errors to the callers."""

    def __init__(self, *, stats: RouterStats, tracker: RequestTracker) -> None:
        self._stats = stats
        self._tracker = tracker

    async def run(
        self,
        conn: CallerConnection,
        handler: Callable[[str, RequestState], Awaitable[ApiError | None]],
        *,
        kind: str,
    ) -> None:
        """Run the handler of one request and send its error, if any, to the caller.

        :param handler: Called with the request id and the state of the request. It
            returns ``None`` after a response, or an error that it has not sent yet.
        :param kind: ``chat`` or ``service``; label of the request counter.
        """
        request_id = os.urandom(16).hex()
        state = RequestState()
        self._tracker.add_current_task()
        self._stats.in_progress += 1
        try:
            error = await self._run_handler(conn, handler, request_id, state)
            if error is not None and not conn.disconnected:
                self._stats.count_error(error.code)
                if not conn.response_started:
                    self._stats.count_response(kind, error.status)
                await conn.send_error(error, request_id)
        finally:
            conn.stop_watching()
            self._stats.in_progress -= 1
            self._tracker.remove_current_task()

    async def _run_handler(
        self,
        conn: CallerConnection,
        handler: Callable[[str, RequestState], Awaitable[ApiError | None]],
        request_id: str,
        state: RequestState,
    ) -> ApiError | None:
        """Run the handler; a cancellation by a disconnect or a drain timeout becomes an error."""
        try:
            error = await handler(request_id, state)
        except asyncio.CancelledError:
            if not conn.disconnected and not self._tracker.drain_timed_out:
                raise
            task = asyncio.current_task()
            assert task is not None
            task.uncancel()
            message = "this router stops and the request took longer than the drain allows"
            error = upstream_error(message, may_have_run=state.may_have_run or state.in_flight)
        conn.stop_watching()
        return error
