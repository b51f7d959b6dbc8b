"""The frame around every request: counting, errors, disconnects and the end of a drain."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

from cornellead.dispatch import Progress
from cornellead.errors import ApiError
from cornellead.errors import lost

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cornellead.api._caller_connection import CallerConnection
    from cornellead.api._in_progress import InProgress
    from cornellead.stats import RouterStats


class RequestRunner:
    """Runs the work of requests and reports their errors to the callers."""

    def __init__(self, *, stats: RouterStats, in_progress: InProgress) -> None:
        self._stats = stats
        self._in_progress = in_progress

    async def run(
        self,
        conn: CallerConnection,
        serve: Callable[[str, Progress], Awaitable[ApiError | None]],
        *,
        kind: str,
    ) -> None:
        """Run one request.

        :param serve: Takes the request id; returns an error that was not sent to the caller.
        :param kind: ``chat`` or ``service``, for the counters.
        """
        request_id = os.urandom(16).hex()
        progress = Progress()
        self._in_progress.enter()
        self._stats.in_progress += 1
        try:
            error = await self._serve(conn, serve, request_id, progress)
            if error is not None and not conn.gone:
                self._stats.count_error(error.code)
                if not conn.started:
                    self._stats.count_response(kind, error.status)
                await conn.fail(error, request_id)
        finally:
            conn.unwatch()
            self._stats.in_progress -= 1
            self._in_progress.leave()

    async def _serve(
        self,
        conn: CallerConnection,
        serve: Callable[[str, Progress], Awaitable[ApiError | None]],
        request_id: str,
        progress: Progress,
    ) -> ApiError | None:
        try:
            error = await serve(request_id, progress)
        except asyncio.CancelledError:
            if not conn.gone and not self._in_progress.expired:
                raise
            task = asyncio.current_task()
            assert task is not None
            task.uncancel()
            text = "this router stops and the request took longer than the drain allows"
            error = lost(text, may_have_run=progress.may_have_run or progress.in_flight)
        conn.unwatch()
        return error
