"""Agents, log and service of one history."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httpx
from tests.guarantees.claim_histories._fake_log import AgentLog
from tests.guarantees.claim_histories._fake_log import FakeLog
from tests.guarantees.claim_histories._fake_log import LogFaults
from tests.guarantees.claim_histories._fake_service import FakeService
from tests.guarantees.claim_histories._fake_service import ServiceFaults
from tests.guarantees.claim_histories._fake_service import ServiceTransport
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
PARTITIONS = ("claims-0", "claims-1")
"""Only these partitions run; `World.keys` holds keys that fall into them."""
KEYS = ("k14", "k41", "k51", "k68", "k73")


class Attempt:
    """One request as its caller saw it."""

    def __init__(self, *, request_id: str, key: str, body: bytes) -> None:
        self.request_id = request_id
        self.key = key
        self.body = body
        self.response: ServiceResponse | None = None


class SimulatedAgent:
    """One agent process."""

    def __init__(self, *, world: World, name: str, token: str) -> None:
        self.name = name
        self.process = Process()
        self.log = AgentLog(log=world.log, process=self.process)
        transport = ServiceTransport(service=world.service, process=self.process)
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
            if controller.name in PARTITIONS:
                world.start(controller.run())


class World:
    """What the processes of one history share."""

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
        self.broken: list[BaseException] = []
        self._tokens = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self.agents = [self._make_agent(f"a{number}") for number in range(agents)]

    def start(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a task of the history; an exception in it breaks the history."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def restart(self, index: int) -> None:
        """Kill an agent and start another process under its name."""
        self.agents[index].process.kill()
        self.replace(index)

    def replace(self, index: int) -> None:
        """Start another process under the name of an agent that may still be running."""
        self.agents[index] = self._make_agent(self.agents[index].name)

    async def call(
        self,
        index: int,
        *,
        key: str,
        body: bytes = b"order",
        deadline_s: float = 2.0,
        key_time_s: float | None = None,
        leaves_after_s: float | None = None,
    ) -> Attempt:
        """Make one attempt; the caller may go away before its answer."""
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
        timeout_s = deadline_s + 5.0 if leaves_after_s is None else leaves_after_s
        try:
            async with asyncio.timeout(timeout_s):
                attempt.response = await self._answer(self.agents[index], request)
        except TimeoutError:
            pass
        return attempt

    async def _answer(self, agent: SimulatedAgent, request: ServiceRequest) -> ServiceResponse:
        await agent.process.gate()
        response = await agent.handler.handle(request)
        await agent.process.gate()
        return response

    def _make_agent(self, name: str) -> SimulatedAgent:
        self._tokens += 1
        return SimulatedAgent(world=self, name=name, token=f"token{self._tokens}")

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.broken.append(task.exception())  # type: ignore[arg-type]
