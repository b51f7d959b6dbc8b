"""Execution at the server, and replay, of the calls of one partition."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import assert_never

from returns.result import Success

from cornellead_agent.services import _error_responses
from cornellead_agent.services._call import Phase
from cornellead_agent.services._recorded_response import make_done_record
from cornellead_agent.services._recorded_response import replay_response
from cornellead_agent.services._server_client import SendError
from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from cornellead_agent.services._call import Call
    from cornellead_agent.services._outbox import Outbox
    from cornellead_agent.services._server_client import ServerClient
    from cornellead_agent.services._service_response import ServiceResponse
    from cornellead_agent.services._service_stats import ServiceStats
    from cornellead_agent.services._stream_reader import StreamReader

SERVER_TIMEOUT_S = 60.0
"""Longest wait for a response of the server; it is recorded even after the caller's deadline."""


class CallExecutor:
    """Tasks that run calls at the server or replay their recorded responses.

    :param active: Calls with a claim of this process by key; a call is removed when it ends.
    :param cancel: Releases the claim of a call that did not reach the server.
    :param work_event: Set when a call ended at the server.
    """

    def __init__(
        self,
        *,
        server: ServerClient,
        reader: StreamReader,
        outbox: Outbox,
        stats: ServiceStats,
        active: dict[bytes, Call],
        cancel: Callable[[Call], None],
        work_event: asyncio.Event,
    ) -> None:
        self._server = server
        self._reader = reader
        self._outbox = outbox
        self._stats = stats
        self._active = active
        self._cancel = cancel
        self._work_event = work_event
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def idle(self) -> bool:
        """Whether no call is being run or replayed."""
        return not self._tasks

    def dispatch(self, call: Call) -> None:
        """Run a call whose claim is live, and record its response."""
        call.phase = Phase.DISPATCHED
        self._stats.dispatched += 1
        self._start_task(self._run_call(call))

    def replay(self, call: Call, offset: int) -> None:
        """Respond to a call with the response that is recorded at an offset of the stream."""
        call.phase = Phase.REPLAYING
        self._stats.replayed += 1
        self._start_task(self._run_replay(call, offset))

    def _start_task(self, coro: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_call(self, call: Call) -> None:
        result = await self._server.send(call.request, timeout_s=SERVER_TIMEOUT_S)
        if isinstance(result, Success):
            self._complete(call, result.unwrap(), result.unwrap())
        else:
            self._handle_send_error(call, result.failure())
        self._work_event.set()

    def _complete(
        self, call: Call, recorded: ServiceResponse | None, response: ServiceResponse
    ) -> None:
        self._outbox.put(f"done {call.call_id}", make_done_record(call, recorded))
        self._active.pop(call.key, None)
        call.close(response)

    def _handle_send_error(self, call: Call, error: SendError) -> None:
        match error:
            case SendError.NOT_SENT:
                self._cancel(call)
                call.close(_error_responses.refuse_call(RefusalReason.SERVER_DOWN))
            case SendError.LOST:
                self._active.pop(call.key, None)
                call.close(_error_responses.response_lost())
            case SendError.TOO_LARGE:
                self._complete(call, None, _error_responses.response_not_recorded())
            case _:
                assert_never(error)

    async def _run_replay(self, call: Call, offset: int) -> None:
        result = await self._reader.fetch_record(offset)
        call.close(replay_response(call, result.unwrap() if isinstance(result, Success) else None))
