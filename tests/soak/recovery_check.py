"""Checks of the soak test after the last fault."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.soak.requests import Violation
from tests.soak.server_trouble import CRASHING_PART
from tests.soak.server_trouble import PROVOKED_REQUESTS
from tests.soak.server_trouble import PROVOKED_REQUESTS_INTERVAL_S
from tests.soak.server_trouble import SHARED_PART
from tests.soak.server_trouble import prompt_header

if TYPE_CHECKING:
    from tests.soak.callers import Callers


class RecoveryCheck:
    """Checks that all gateways serve again and keep what crashed servers in quarantine.

    :param addresses: Addresses of the gateways.
    :param violations: Receives what was violated.
    """

    def __init__(
        self, *, callers: Callers, addresses: list[str], violations: list[Violation]
    ) -> None:
        self._callers = callers
        self._addresses = addresses
        self._violations = violations

    async def check_serving(self, newest_route: str) -> None:
        """Check that all gateways know the newest route and serve every request."""
        for address in self._addresses:
            request_id = self._callers.new_request_id("many")
            response = await self._callers.send_request(address, newest_route, request_id)
            if response is None or response.status != 200:
                self._violations.append(Violation("newest configuration", address, str(response)))
        for address in self._addresses:
            responses = [
                await self._callers.send_request(
                    address, "many", self._callers.new_request_id("many")
                )
                for _ in range(5)
            ]
            success_count = sum(
                1 for response in responses if response is not None and response.status == 200
            )
            if success_count < len(responses):
                self._violations.append(
                    Violation("recovery", address, f"{success_count} of 5 served")
                )

    async def provoke_crashes(self) -> None:
        """Send requests with the crashing part to the gateways in turn, enough for a quarantine."""
        prompt = prompt_header([SHARED_PART, "b1", CRASHING_PART, "own"])
        for number in range(PROVOKED_REQUESTS):
            address = self._addresses[number % len(self._addresses)]
            request_id = self._callers.new_request_id("stream")
            await self._callers.send_request(address, "stream", request_id, prompt=prompt)
            await asyncio.sleep(PROVOKED_REQUESTS_INTERVAL_S)

    async def check_quarantine(self) -> None:
        """Check after a restart of all gateways that none sends what crashed many servers."""
        expected = {
            prompt_header([SHARED_PART, "b1", "own"]): 200,
            prompt_header([SHARED_PART, "b1", CRASHING_PART, "own"]): 503,
        }
        for address in self._addresses:
            for prompt, status in expected.items():
                request_id = self._callers.new_request_id("stream")
                response = await self._callers.send_request(
                    address, "stream", request_id, prompt=prompt
                )
                if response is None or response.status != status:
                    detail = f"{prompt}: {response and response.status}, not {status}"
                    self._violations.append(Violation("quarantine", address, detail))
