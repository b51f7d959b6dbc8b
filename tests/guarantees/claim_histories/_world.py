"""Simulated fleet of one history: agents, log and service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httpx
from tests.guarantees.claim_histories._fake_log import FakeLog
from tests.guarantees.claim_histories._fake_log import FakeLogClient
from tests.guarantees.claim_histories._fake_log import LogFaults
from tests.guarantees.claim_histories._fake_service import FakeService
from tests.guarantees.claim_histories._fake_service import FakeServiceTransport
from tests.guarantees.claim_histories._fake_service import ServiceFaults
from tests.guarantees.claim_histories._process import Process

from cornellead_agent.services import ServiceHandler
from cornellead_agent.services import ServiceRequest
from cornellead_core.blackboard import Blackboard
from cornellead_core.settings import AgentSettings
from cornellead_core.settings import ProcessSettings
from cornellead_core.settings import ServerSettings

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine
    from typing import Any

    from cornellead_agent.services import ServiceResponse

TEAM = "shop"
ACTIVE_PARTITIONS = ("claims-0", "claims-1")
"""Controllers of the partitions that the simulated agents run."""
KEYS = ("k14", "k41", "k51", "k68", "k73")
"""Keys of these partitions."""


class Attempt:
    """Request of a caller and the response it received, if any."""

    def __init__(self, *, request_id: str, key: str, body: bytes) -> None:
        self.request_id = request_id
        self.key = key
        self.body = body
        self.response: ServiceResponse | None = None


class SimulatedAgent:
    """Agent process that runs the controllers of some partitions."""

    def __init__(self, *, world: World, name: str, token: str) -> None:
        self.name = name
        self.process = Process()
        self.log = FakeLogClient(log=world.log, process=self.process)
        transport = FakeServiceTransport(service=world.service, process=self.process)
        self.board = Blackboard()
        settings = AgentSettings(
            process=ProcessSettings(name, "r", "d", "", "", "", "0123456789abcdef"),
            server=ServerSettings("http://service", service="booking"),
            key_validity_s=world.validity_s,
        )
        self.handler = ServiceHandler(
            settings=settings,
            board=self.board,
            log=self.log,
            client=httpx.AsyncClient(transport=transport),
            incarnation=1,
            token=token,
        )
        for controller in self.handler.controllers():
            if controller.name in ACTIVE_PARTITIONS:
                world.start(controller.run())


class World:
    """Log, service and agents of one history, and the attempts of its callers."""

    def __init__(
        self,
        *,
        rng: random.Random,
        agents: int = 1,
        validity_s: float = 600.0,
        retention_s: float = 700.0,
        log_faults: LogFaults | None = None,
        service_faults: ServiceFaults | None = None,
    ) -> None:
        self.rng = rng
        self.validity_s = validity_s
        self.log = FakeLog(rng=rng, faults=log_faults or LogFaults(), retention_s=retention_s)
        self.service = FakeService(rng=rng, faults=service_faults or ServiceFaults())
        self.attempts: list[Attempt] = []
        self.task_errors: list[BaseException] = []
        self._token_count = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self.agents = [self._make_agent(f"a{number}") for number in range(agents)]

    def start(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task of the history; an exception in it is added to `task_errors`."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._record_failure)
        return task

    def restart(self, index: int) -> None:
        """Kill an agent and start a new process with the same name."""
        self.agents[index].process.kill()
        self.replace(index)

    def replace(self, index: int) -> None:
        """Start a new process with the name of an agent, which may still be running."""
        self.agents[index] = self._make_agent(self.agents[index].name)

    async def call(
        self,
        index: int,
        *,
        key: str,
        body: bytes = b"order",
        deadline_s: float = 2.0,
        key_time_s: float | None = None,
        disconnect_after_s: float | None = None,
    ) -> Attempt:
        """Send a request; the caller may disconnect before the response.

        :param disconnect_after_s: Time after which the caller disconnects; by default, 5 s after
            the deadline.
        """
        attempt = Attempt(request_id=f"r{len(self.attempts)}", key=key, body=body)
        self.attempts.append(attempt)
        request = ServiceRequest(
            operation="book",
            team=TEAM,
            key=key,
            key_time_s=key_time_s,
            body=body,
            content_type="text/plain",
            deadline_s=deadline_s,
            request_id=attempt.request_id,
            at_most_once=True,
        )
        timeout_s = deadline_s + 5.0 if disconnect_after_s is None else disconnect_after_s
        try:
            async with asyncio.timeout(timeout_s):
                attempt.response = await self._handle(self.agents[index], request)
        except TimeoutError:
            pass
        return attempt

    async def _handle(self, agent: SimulatedAgent, request: ServiceRequest) -> ServiceResponse:
        await agent.process.wait_until_running()
        response = await agent.handler.handle(request)
        await agent.process.wait_until_running()
        return response

    def _make_agent(self, name: str) -> SimulatedAgent:
        self._token_count += 1
        return SimulatedAgent(world=self, name=name, token=f"token{self._token_count}")

    def _record_failure(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.task_errors.append(task.exception())  # type: ignore[arg-type]
