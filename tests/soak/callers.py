"""Callers of the soak test, which check each response and the runs of their requests."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from tests.router.gateway.scripted_server import encode_event
from tests.soak.requests import Violation
from tests.soak.requests import connect
from tests.soak.requests import exchange
from tests.soak.servers import COMMENT
from tests.soak.servers import EVENTS_PER_STREAM
from tests.soak.servers import expected_body

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.soak.requests import Streams
    from tests.soak.server_notices import ServerNotices

REQUEST_TIMEOUT_S = 3.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Status codes by which a gateway promises that an unsafe request did not run."""
COMPLETE_STREAM = b"".join(encode_event(number) for number in range(1, EVENTS_PER_STREAM + 1))


class Callers:
    """Sends requests to gateways chosen at random.

    :param runs: Executions by request id, as the servers count them.
    :param addresses: Addresses of the gateways.
    :param notices: Learns which gateway gets a request and what it passes on.
    :param violations: Receives what the responses violate.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        runs: Counter[str],
        addresses: list[str],
        notices: ServerNotices,
        violations: list[Violation],
    ) -> None:
        self._rng = rng
        self._runs = runs
        self._addresses = addresses
        self._notices = notices
        self._violations = violations
        self._unsafe_ids: set[str] = set()
        """Ids of requests that may run at most once."""
        self._refused_ids: set[str] = set()
        self._request_count = 0
        self.responses: Counter[int] = Counter()
        """Responses by status code; 0 when there was none."""

    def new_request_id(self, kind: str) -> str:
        """Return the id of a new request on the route of a kind."""
        self._request_count += 1
        request_id = f"{kind}{self._request_count:06d}"
        if kind == "once":
            self._unsafe_ids.add(request_id)
        return request_id

    async def send_requests(self, *, choose_prompt: Callable[[int], str]) -> None:
        """Send requests of all kinds, each on a new connection, until cancelled.

        :param choose_prompt: Returns the prompt's header line for the number of a request.
        """
        while True:
            kind = self._rng.choice(["once", "many", "stream"])
            address = self._rng.choice(self._addresses)
            request_id = self.new_request_id(kind)
            prompt = choose_prompt(self._request_count) if kind == "stream" else ""
            response = await self.send_request(address, kind, request_id, prompt=prompt)
            self.check_response(kind, request_id, response)
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def send_request(
        self, address: str, path: str, request_id: str, *, prompt: str = ""
    ) -> CallerResponse | None:
        """Send a request on a new connection; return ``None`` if that fails or takes too long."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                streams = await connect(address)
                response = await self.exchange(streams, path, request_id, prompt)
                streams[1].close()
                return response
        except (OSError, TimeoutError):
            return None

    async def exchange(
        self, streams: Streams, path: str, request_id: str, prompt: str = ""
    ) -> CallerResponse:
        """Send a request on a connection to a gateway and read the response.

        :param prompt: Header line with the prompt, or empty.
        """
        host, port = streams[1].get_extra_info("peername")
        address = f"{host}:{port}"
        self._notices.record_sent(address, request_id)
        response = await exchange(streams, path, request_id, prompt)
        self._notices.record_response(address, response)
        return response

    def check_response(self, kind: str, request_id: str, response: CallerResponse | None) -> None:
        """Check that a successful response is whole, or a part of the right one if cut off."""
        if response is None or response.status == 0:
            self.responses[0] += 1
            return
        self.responses[response.status] += 1
        if response.status in NOT_RUN_STATUSES:
            self._refused_ids.add(request_id)
        if response.status != 200:
            return
        expected = COMPLETE_STREAM if kind == "stream" else expected_body(request_id)
        body = response.body.replace(COMMENT, b"")
        if body != expected[: len(body)] or (response.complete and body != expected):
            self._violations.append(
                Violation("complete response", request_id, repr(response.body[:200]))
            )

    def check_runs(self) -> None:
        """Check that unsafe requests ran at most once, and not at all when refused."""
        for request_id in sorted(self._unsafe_ids):
            if self._runs[request_id] > 1:
                detail = f"{self._runs[request_id]} runs"
                self._violations.append(Violation("at most once", request_id, detail))
        for request_id in sorted(self._refused_ids):
            if self._runs[request_id] and request_id in self._unsafe_ids:
                self._violations.append(Violation("not run", request_id, "was refused and ran"))
