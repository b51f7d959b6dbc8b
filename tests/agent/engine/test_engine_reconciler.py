"""Commands to the engine and their fencing tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_agent.engine import TAKEOVER_DELAY_S
from cornellead_agent.engine import Command
from cornellead_agent.engine import EngineReconciler
from cornellead_agent.engine import FencingToken
from cornellead_agent.facts import SERVER
from cornellead_agent.facts import ServerView
from cornellead_agent.relay import CompleteResponse
from cornellead_agent.relay import EngineClient
from cornellead_agent.relay import EngineRequestError
from cornellead_core.blackboard import Blackboard
from cornellead_core.config import EMPTY_CONFIG
from cornellead_core.config import ServerConfig
from cornellead_core.facts import CONFIG
from cornellead_core.platform import AppendError
from cornellead_core.platform import LogPage
from cornellead_core.platform import LogRecord
from cornellead_core.platform import PlatformError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence


class ManualClock:
    """A clock that only tests advance."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class MemoryLog:
    """A log with one stream in memory, whose appends may lose their response or be rejected."""

    def __init__(self) -> None:
        self.on_read: Callable[[], None] = lambda: None
        """Called before each read returns, for example to let time pass."""
        self.values: list[dict[str, Any]] = []
        self.era = 0
        self.append_result: AppendError | None = None
        self.readable = True

    def restore(self, values: Sequence[dict[str, Any]]) -> None:
        """Come back from a copy, in a later era."""
        self.values = list(values)
        self.era += 1

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
        self.on_read()
        return Success(LogPage(records, end, 0, end, 1e6, 0, self.era))


class ModelEngine(EngineClient):
    """An engine that loads models on command and checks or ignores fencing tokens."""

    def __init__(self, *, checks_fence: bool) -> None:
        super().__init__(url="http://127.0.0.1:1")
        self.checks_fence = checks_fence
        self.fence = -1
        self.models: set[str] = {"a"}
        self.commands: list[dict[str, Any]] = []

    async def fetch(
        self,
        method: str,
        target: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
        timeout_s: float,
        shared: bool = False,
    ) -> Result[CompleteResponse, EngineRequestError]:
        """Execute a command, or reject it if its token is stale."""
        command = msgspec.json.decode(body)
        if self.checks_fence and command["fence"] < self.fence:
            return Success(CompleteResponse(409, {}, b""))
        self.fence = command["fence"]
        self.commands.append(command)
        if command["kind"] == "load_model":
            self.models.add(command["value"])
        elif command["kind"] == "unload_model":
            self.models.discard(command["value"])
        return Success(CompleteResponse(200, {}, b"{}"))


class ReconcilerHarness:
    """The reconciler of one agent process with its own blackboard."""

    def __init__(
        self, log: MemoryLog, engine: ModelEngine, owner: str, clock: ManualClock | None = None
    ) -> None:
        self.board = Blackboard()
        self.engine = engine
        self.clock = clock or ManualClock()
        self.fence = FencingToken(log=log, server="m0", owner=owner, clock=self.clock)
        self.reconciler = EngineReconciler(
            server="m0", board=self.board, client=engine, fence=self.fence
        )

    async def reconcile(self, *models: str) -> None:
        """Run a round with the given desired models and the engine's actual ones."""
        desired = {"m0": ServerConfig(models=models)}
        self.board.write(CONFIG, EMPTY_CONFIG._replace(servers=desired))
        actual = tuple(sorted(self.engine.models))
        self.board.write(SERVER, ServerView(up=True, models=actual))
        await self.reconciler.reconcile()

    async def take_over(self, *models: str) -> None:
        """Run a round that takes the token, and wait until it may be used."""
        await self.reconcile(*models)
        self.clock.now += TAKEOVER_DELAY_S


@pytest.mark.parametrize("checks_fence", [True, False])
async def test_replaced_agent_sends_no_commands(checks_fence: bool) -> None:
    """Guards against two agents commanding one engine, whether or not it checks tokens."""
    log, engine = MemoryLog(), ModelEngine(checks_fence=checks_fence)
    old, new = ReconcilerHarness(log, engine, "old"), ReconcilerHarness(log, engine, "new")
    await old.reconcile("b")
    await new.take_over("c")
    await new.reconcile("c")
    sent = len(engine.commands)
    await old.reconcile("b")
    assert len(engine.commands) == sent
    assert (old.fence.replaced, new.fence.replaced) == (True, False)


@pytest.mark.parametrize("checks_fence", [True, False])
async def test_late_command_of_a_replaced_agent_is_corrected(checks_fence: bool) -> None:
    """Guards against a command of a paused agent that arrives after those of its replacement."""
    log, engine = MemoryLog(), ModelEngine(checks_fence=checks_fence)
    old, new = ReconcilerHarness(log, engine, "old"), ReconcilerHarness(log, engine, "new")
    token = await old.fence.token()
    await new.take_over("c")
    for _ in range(2):
        await new.reconcile("c")
    command = msgspec.json.encode({"fence": token, "kind": "load_model", "value": "b"})
    await engine.fetch("POST", "/orders", body=command, timeout_s=1.0)
    for _ in range(2):
        await new.reconcile("c")
    assert engine.models == {"c"}


async def test_models_are_unloaded_after_new_ones_are_loaded() -> None:
    """Guards against an engine that has no model during a change."""
    engine = ModelEngine(checks_fence=True)
    harness = ReconcilerHarness(MemoryLog(), engine, "one")
    await harness.reconcile("b")
    assert engine.models == {"a", "b"}
    await harness.reconcile("b")
    assert engine.models == {"b"}
    await harness.reconcile("b")
    assert len(engine.commands) == 2


async def test_record_is_found_after_a_lost_append_response() -> None:
    """Guards against a second record of one agent and against a token without a record."""
    log = MemoryLog()
    log.append_result = AppendError.UNKNOWN
    fence = FencingToken(log=log, server="m0", owner="one")
    assert await fence.token() == 0
    assert len(log.values) == 1


async def test_no_command_is_sent_while_the_log_is_unavailable() -> None:
    """Guards against commands with a token that may have become stale during a log outage."""
    log, engine = MemoryLog(), ModelEngine(checks_fence=False)
    log.append_result = AppendError.REJECTED
    harness = ReconcilerHarness(log, engine, "one")
    await harness.reconcile("b")
    assert engine.commands == []
    log.append_result = None
    await harness.reconcile("b")
    assert len(engine.commands) == 1
    log.readable = False
    await harness.reconcile("c")
    assert len(engine.commands) == 1


@pytest.mark.parametrize("pause_s", [1.5, 10.0])
@pytest.mark.parametrize("resumes_at", ["read", "command"])
async def test_paused_agent_does_not_act_on_an_old_confirmation(
    pause_s: float, resumes_at: str
) -> None:
    """Guards against a command of an agent that was paused after its token was confirmed, while
    another agent took over: the engine ignores tokens."""
    log, engine, clock = MemoryLog(), ModelEngine(checks_fence=False), ManualClock()
    old = ReconcilerHarness(log, engine, "old", clock)
    assert await old.fence.token() == 0

    def pause() -> None:
        log.values.append({"owner": "new"})
        clock.now += pause_s

    if resumes_at == "read":
        log.on_read = pause
        await old.reconcile("b")
    else:
        command = Command("load_model", "b")
        pause()
        assert not await old.reconciler._send(command, 0)
    assert engine.commands == []


async def test_agents_do_not_act_at_the_same_time_around_a_handover() -> None:
    """Guards against the same command from two agents: the former one acts on a confirmation that
    it got just before the other one took over."""
    log, engine, clock = MemoryLog(), ModelEngine(checks_fence=False), ManualClock()
    old = ReconcilerHarness(log, engine, "old", clock)
    new = ReconcilerHarness(log, engine, "new", clock)
    token = await old.fence.token()
    assert token is not None
    old_sent_at = clock.now
    while True:
        engine.models, sent = {"a"}, len(engine.commands)
        await new.reconcile("a", "b")
        if len(engine.commands) > sent:
            break
        if await old.reconciler._send(Command("load_model", "b"), token):
            old_sent_at = clock.now
        clock.now += 0.1
    assert old_sent_at > 100.0 and clock.now - old_sent_at >= TAKEOVER_DELAY_S / 2


@pytest.mark.parametrize("checks_fence", [True, False])
async def test_one_agent_commands_after_the_log_lost_its_record(checks_fence: bool) -> None:
    """Guards against two agents with one token: the record of the first one was lost."""
    log, engine, clock = MemoryLog(), ModelEngine(checks_fence=checks_fence), ManualClock()
    old, new = (ReconcilerHarness(log, engine, name, clock) for name in ("old", "new"))
    await old.reconcile("b")
    log.restore([])
    await new.take_over("c")
    await new.reconcile("c")
    sent = len(engine.commands)
    assert sent == 2
    await old.take_over("b")
    await old.reconcile("b")
    assert len(engine.commands) == sent
    assert (old.fence.replaced, new.fence.replaced) == (True, False)


async def test_agent_goes_on_after_the_log_lost_its_record() -> None:
    """Guards against a token below one that the engine has seen in the lost history."""
    log, engine, clock = MemoryLog(), ModelEngine(checks_fence=True), ManualClock()
    log.values = [{"owner": "earlier"}] * 3
    harness = ReconcilerHarness(log, engine, "one", clock)
    await harness.take_over("b")
    await harness.reconcile("b")
    log.restore(log.values[:1])
    await harness.take_over("c")
    await harness.reconcile("c")
    assert "c" in engine.models


async def test_replaced_agent_stays_replaced_after_the_log_was_restored() -> None:
    """Guards against an agent whose replacement is missing in the copy of the log."""
    log, engine, clock = MemoryLog(), ModelEngine(checks_fence=False), ManualClock()
    old, new = (ReconcilerHarness(log, engine, name, clock) for name in ("old", "new"))
    await old.reconcile("b")
    copy = list(log.values)
    await new.take_over("c")
    await new.reconcile("c")
    await old.reconcile("b")
    log.restore(copy)
    sent = len(engine.commands)
    await old.take_over("b")
    await old.reconcile("b")
    assert len(engine.commands) == sent
    await new.take_over("c")
    await new.reconcile("c")
    assert (old.fence.replaced, new.fence.replaced) == (True, False)
    assert len(engine.commands) > sent


async def test_agents_pause_before_they_act_in_a_restored_log() -> None:
    """Guards against a command beside an agent that acts on a confirmation of the lost history."""
    log, clock = MemoryLog(), ManualClock()
    old = FencingToken(log=log, server="m0", owner="old", clock=clock)
    assert await old.token() == 0
    log.restore([])
    new = FencingToken(log=log, server="m0", owner="new", clock=clock)
    assert await new.token() is None and old.confirmed
    clock.now += TAKEOVER_DELAY_S
    assert await new.token() is not None and not old.confirmed


async def test_only_the_later_agent_commands_when_both_records_were_lost() -> None:
    """Guards against a paused agent that takes the token back, and against no agent with one."""
    log, engine, clock = MemoryLog(), ModelEngine(checks_fence=False), ManualClock()
    old, new = (ReconcilerHarness(log, engine, name, clock) for name in ("old", "new"))
    await old.reconcile("b")
    await new.take_over("c")
    log.restore([])
    await old.take_over("b")
    await new.take_over("c")
    for _ in range(2):
        await old.reconcile("b")
        await new.reconcile("c")
    assert (old.fence.replaced, new.fence.replaced) == (True, False)
    assert "c" in engine.models
