"""Tests of the blackboard and of running controllers.

They guard against lost wake-ups of controllers that wait for a fact, and against controllers that
keep running after another one has failed.
"""

from __future__ import annotations

import asyncio

import pytest
from structlog.testing import capture_logs

from cornellead_core.blackboard import Blackboard
from cornellead_core.blackboard import Controller
from cornellead_core.blackboard import Fact
from cornellead_core.blackboard import run_controllers
from cornellead_core.blackboard import supervise_controllers

COUNT = Fact(name="count", default=0)


async def test_write_before_the_wait_is_not_missed() -> None:
    board = Blackboard()
    revision = board.revision(COUNT)
    board.write(COUNT, 1)
    assert await board.wait_change(COUNT, revision=revision, timeout_s=0)


async def test_write_wakes_all_waiters() -> None:
    board = Blackboard()
    waiters = [
        asyncio.create_task(board.wait_change(COUNT, revision=0, timeout_s=30)) for _ in range(3)
    ]
    await asyncio.sleep(0)
    board.write(COUNT, 5)
    assert await asyncio.gather(*waiters) == [True, True, True]
    assert board.read(COUNT) == 5


async def test_wait_without_a_write_times_out() -> None:
    assert not await Blackboard().wait_change(COUNT, revision=0, timeout_s=0.001)


class _FailingController:
    name = "failing"

    async def run(self) -> None:
        raise AssertionError("invariant violated")


class _EndlessController:
    name = "forever"

    def __init__(self) -> None:
        self.cancelled = False

    async def run(self) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled = True


async def test_failed_controller_cancels_all_others() -> None:
    other = _EndlessController()
    with pytest.raises(ExceptionGroup):
        await run_controllers([other, _FailingController()])
    assert other.cancelled


class _RecoveringController:
    name = "recovering"

    def __init__(self) -> None:
        self.starts = 0

    async def run(self) -> None:
        self.starts += 1
        if self.starts < 3:
            raise ValueError("poisoned")
        await asyncio.Event().wait()


async def test_supervised_controller_is_restarted_and_the_others_go_on() -> None:
    other, recovering = _EndlessController(), _RecoveringController()
    failed: list[str] = []
    task = asyncio.create_task(supervise_controllers([other, recovering], on_failure=failed.append))
    async with asyncio.timeout(2.0):
        while recovering.starts < 3:
            await asyncio.sleep(0.01)
    assert failed == ["recovering", "recovering"] and not other.cancelled and not task.done()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert other.cancelled


async def test_supervised_controller_that_always_fails_is_restarted_with_a_pause() -> None:
    failed: list[str] = []
    task = asyncio.create_task(
        supervise_controllers([_FailingController()], on_failure=failed.append)
    )
    await asyncio.sleep(0.5)
    task.cancel()
    assert 2 <= len(failed) <= 4


class _ReturningController:
    name = "returning"

    async def run(self) -> None:
        return


class _ForeignCancellationController:
    name = "foreign"

    async def run(self) -> None:
        fut = asyncio.get_running_loop().create_future()
        fut.cancel()
        await fut


@pytest.mark.parametrize("controller", [_ReturningController(), _ForeignCancellationController()])
async def test_supervised_controller_that_ends_without_an_error_is_restarted(
    controller: Controller,
) -> None:
    """Guards against a background task that is gone for good without a log line."""
    other = _EndlessController()
    failed: list[str] = []
    task = asyncio.create_task(supervise_controllers([other, controller], on_failure=failed.append))
    with capture_logs() as lines:
        await asyncio.sleep(0.5)
    assert 2 <= len(failed) <= 4 and set(failed) == {controller.name}
    assert [line["task"] for line in lines] == failed
    assert not task.done() and not other.cancelled
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert other.cancelled


@pytest.mark.parametrize("controller", [_ReturningController(), _ForeignCancellationController()])
async def test_unsupervised_controller_that_ends_without_an_error_ends_all(
    controller: Controller,
) -> None:
    """Guards against a process that goes on without one of its tasks."""
    other = _EndlessController()
    with pytest.raises(ExceptionGroup):
        async with asyncio.timeout(0.5):
            await run_controllers([other, controller])
    assert other.cancelled
