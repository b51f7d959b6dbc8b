"""Commands to the engine under a fencing token."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_agent.engine import Commander
from cornellead_agent.engine import Fence
from cornellead_agent.facts import SERVER
from cornellead_agent.facts import ServerView
from cornellead_agent.relay import EngineClient
from cornellead_agent.relay import ExchangeError
from cornellead_agent.relay import WholeResponse
from cornellead_core.blackboard import Blackboard
from cornellead_core.config import EMPTY_CONFIG
from cornellead_core.config import ServerConfig
from cornellead_core.facts import CONFIG
from cornellead_core.platform import AppendError
from cornellead_core.platform import LogPage
from cornellead_core.platform import LogRecord
from cornellead_core.platform import PlatformError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence


class MemoryLog:
    """One stream in memory; appends may lose their answer or be rejected."""

    def __init__(self) -> None:
        self.values: list[dict[str, Any]] = []
        self.append_result: AppendError | None = None
        self.readable = True

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        """Append values to the only stream."""
        if self.append_result is not AppendError.REJECTED:
            self.values.extend(dict(value) for value in values)
        if self.append_result is not None:
            return Failure(self.append_result)
        return Success(len(self.values) - 1)

    async def read(
        self, stream: str, *, from_offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, PlatformError]:
        """Read values from the only stream."""
        if not self.readable:
            return Failure(PlatformError("outage"))
        records = [
            LogRecord(offset, 0, value)
            for offset, value in enumerate(self.values)
            if offset >= from_offset
        ]
        end = len(self.values)
        return Success(LogPage(records, end, 0, end, 1e6, 0))


class ModelEngine(EngineClient):
    """An engine that loads models on command; it may honour or ignore tokens."""

    def __init__(self, *, honours: bool) -> None:
        super().__init__(url="http://127.0.0.1:1")
        self.honours = honours
        self.fence = -1
        self.models: set[str] = {"a"}
        self.orders: list[dict[str, Any]] = []

    async def fetch(
        self,
        method: str,
        target: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
        timeout_s: float,
    ) -> Result[WholeResponse, ExchangeError]:
        """Take an order."""
        order = msgspec.json.decode(body)
        if self.honours and order["fence"] < self.fence:
            return Success(WholeResponse(409, {}, b""))
        self.fence = order["fence"]
        self.orders.append(order)
        if order["kind"] == "load_model":
            self.models.add(order["value"])
        elif order["kind"] == "unload_model":
            self.models.discard(order["value"])
        return Success(WholeResponse(200, {}, b"{}"))


class Bench:
    """An agent's commander with its own blackboard."""

    def __init__(self, log: MemoryLog, engine: ModelEngine, owner: str) -> None:
        self.board = Blackboard()
        self.engine = engine
        self.fence = Fence(log=log, server="m0", owner=owner)
        self.commander = Commander(server="m0", board=self.board, client=engine, fence=self.fence)

    async def reconcile(self, *models: str) -> None:
        """Run a round with a desired set of models and the engine's actual state."""
        desired = {"m0": ServerConfig(models=models)}
        self.board.write(CONFIG, EMPTY_CONFIG._replace(servers=desired))
        actual = tuple(sorted(self.engine.models))
        self.board.write(SERVER, ServerView(up=True, models=actual))
        await self.commander.reconcile()


@pytest.mark.parametrize("honours", [True, False])
async def test_replaced_agent_sends_nothing(honours: bool) -> None:
    """Guards against two agents that command one engine, whether it checks tokens or not."""
    log, engine = MemoryLog(), ModelEngine(honours=honours)
    old, new = Bench(log, engine, "old"), Bench(log, engine, "new")
    await old.reconcile("b")
    await new.reconcile("c")
    sent = len(engine.orders)
    await old.reconcile("b")
    assert len(engine.orders) == sent
    assert (old.fence.replaced, new.fence.replaced) == (True, False)


@pytest.mark.parametrize("honours", [True, False])
async def test_late_command_of_an_old_agent_is_corrected(honours: bool) -> None:
    """Guards against a paused agent whose command arrives after its replacement's."""
    log, engine = MemoryLog(), ModelEngine(honours=honours)
    old, new = Bench(log, engine, "old"), Bench(log, engine, "new")
    token = await old.fence.token()
    for _ in range(2):
        await new.reconcile("c")
    order = msgspec.json.encode({"fence": token, "kind": "load_model", "value": "b"})
    await engine.fetch("POST", "/orders", body=order, timeout_s=1.0)
    for _ in range(2):
        await new.reconcile("c")
    assert engine.models == {"c"}


async def test_models_are_unloaded_after_the_new_ones_are_loaded() -> None:
    """Guards against an engine without any model while it changes them."""
    engine = ModelEngine(honours=True)
    bench = Bench(MemoryLog(), engine, "one")
    await bench.reconcile("b")
    assert engine.models == {"a", "b"}
    await bench.reconcile("b")
    assert engine.models == {"b"}
    await bench.reconcile("b")
    assert len(engine.orders) == 2


async def test_lost_append_answer_is_found_in_the_stream() -> None:
    """Guards against a second record of one agent and a token that is not on the log."""
    log = MemoryLog()
    log.append_result = AppendError.UNKNOWN
    fence = Fence(log=log, server="m0", owner="one")
    assert await fence.token() == 0
    assert len(log.values) == 1


async def test_no_command_without_the_log() -> None:
    """Guards against commands under a token that may have been replaced during an outage."""
    log, engine = MemoryLog(), ModelEngine(honours=False)
    log.append_result = AppendError.REJECTED
    bench = Bench(log, engine, "one")
    await bench.reconcile("b")
    assert engine.orders == []
    log.append_result = None
    await bench.reconcile("b")
    assert len(engine.orders) == 1
    log.readable = False
    await bench.reconcile("c")
    assert len(engine.orders) == 1
