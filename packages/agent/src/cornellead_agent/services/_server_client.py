"""HTTP client for the service that the agent runs in front of."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING
from urllib.parse import quote

import httpx
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_agent.services._service_response import ServiceResponse
from cornellead_core.buffers import BufferBudget
from cornellead_core.close_delimited import CHECK_TIMEOUT_S
from cornellead_core.close_delimited import MAX_SHARE_OF_TIME_LEFT
from cornellead_core.close_delimited import ResponseEnd
from cornellead_core.close_delimited import ServerEndCheck
from cornellead_core.decoding import is_interim_status
from cornellead_core.pacing import ArrivalTimeout

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_agent.services._service_request import ServiceRequest

MAX_RESPONSE_BYTES = 4 << 20
CONNECT_TIMEOUT_S = 2.0
TURN_CHUNKS = 32
"""Chunks of a response that are read in one turn of the event loop, since `httpx` parses each in
Python."""


class SendError(StrEnum):
    """Why a call has no complete response."""

    NOT_SENT = "not_sent"
    """The connection failed before any byte was sent."""
    LOST = "lost"
    """The call was sent at least in part, and no complete response arrived."""
    TOO_LARGE = "too_large"
    """The response body exceeds `MAX_RESPONSE_BYTES`, or all responses hold too much."""


class ServerClient:
    """Sends calls to one service, without retries.

    :param client: HTTP client, which the caller closes.
    :param url: Base URL of the service.
    :param budget: Bounds what all responses hold together.
    :param leaving: Returns whether the service is being taken out of service.
    """

    def __init__(
        self,
        *,
        client: httpx.AsyncClient,
        url: str,
        budget: BufferBudget | None = None,
        leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._client = client
        self._url = url.rstrip("/")
        self._budget = BufferBudget() if budget is None else budget
        self._end_check = ServerEndCheck(url=url, leaving=leaving)

    async def send(
        self, request: ServiceRequest, *, timeout_s: float
    ) -> Result[ServiceResponse, SendError]:
        """Send a call once and read its whole response.

        :param timeout_s: Limit on the whole exchange, in seconds.
        """
        fields = {
            "content-type": request.content_type,
            "x-request-id": request.request_id,
            # If the server closes a reused connection while the call is sent, a call that never
            # reached the service is indistinguishable from one whose response was lost.
            "connection": "close",
        }
        if request.key is not None:
            fields["idempotency-key"] = request.key
        timeout = httpx.Timeout(timeout_s, connect=min(CONNECT_TIMEOUT_S, timeout_s))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        url = f"{self._url}/v1/{quote(request.operation, safe='')}"
        try:
            # The timeouts of httpx apply to each read, not to the whole response.
            async with (
                ArrivalTimeout(delay_s=timeout_s),
                self._client.stream(
                    "POST", url, content=request.body, headers=fields, timeout=timeout
                ) as resp,
            ):
                result = await _read_response(resp, self._budget)
                if isinstance(result, Success) and _is_close_delimited(resp):
                    return await self._check_end(result, time_left_s=deadline - loop.time())
                return result
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return Failure(SendError.NOT_SENT)
        except (httpx.HTTPError, httpx.InvalidURL, TimeoutError):
            return Failure(SendError.LOST)

    async def _check_end(
        self, result: Result[ServiceResponse, SendError], *, time_left_s: float
    ) -> Result[ServiceResponse, SendError]:
        timeout_s = min(CHECK_TIMEOUT_S, MAX_SHARE_OF_TIME_LEFT * time_left_s)
        end = await self._end_check.run(timeout_s=timeout_s)
        return Failure(SendError.LOST) if end is ResponseEnd.CUT else result


class _Body:
    """Body of a response that is being read."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.dropped = False

    def drop_buffer(self) -> None:
        """Give the response up; called by the budget."""
        self.data.clear()
        self.dropped = True


def _has_final_status(resp: httpx.Response) -> bool:
    try:
        return not is_interim_status(resp.status_code)
    except ValueError:
        return False


def _is_close_delimited(resp: httpx.Response) -> bool:
    framed = "content-length" in resp.headers or "transfer-encoding" in resp.headers
    return not framed and resp.status_code not in (httpx.codes.NO_CONTENT, httpx.codes.NOT_MODIFIED)


async def _read_response(
    resp: httpx.Response, budget: BufferBudget
) -> Result[ServiceResponse, SendError]:
    if not _has_final_status(resp):
        return Failure(SendError.LOST)
    body = _Body()
    chunks = 0
    async for chunk in resp.aiter_bytes():
        chunks += 1
        if chunks % TURN_CHUNKS == 0:
            await asyncio.sleep(0)
        body.data += chunk
        budget.record(body, len(body.data))
        if body.dropped or len(body.data) > MAX_RESPONSE_BYTES:
            return Failure(SendError.TOO_LARGE)
    content_type = resp.headers.get("content-type", "application/octet-stream")
    content = bytes(body.data)
    return Success(ServiceResponse(resp.status_code, [("content-type", content_type)], content))
