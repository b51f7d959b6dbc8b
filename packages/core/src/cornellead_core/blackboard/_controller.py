"""Interface of controllers and the function that runs them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog

if TYPE_CHECKING:
    from collections.abc import Sequence


class ControllerEndedError(RuntimeError):
    """A controller ended by itself, although nobody cancelled it."""


class Controller(Protocol):
    """Background task of a process that reads and writes facts."""

    @property
    def name(self) -> str:
        """Name of the task in logs and metrics."""
        ...

    async def run(self) -> None:
        """Run until cancelled; an error, an early return or a cancellation by another task is a
        failure, after which `run_controllers` stops the process and `supervise_controllers` runs
        the controller again.
        """
        ...


async def run_controllers(controllers: Sequence[Controller]) -> None:
    """Run controllers until one fails or this task is cancelled.

    Used by agents and by routers of the own interface.

    :raises ExceptionGroup: if a controller fails; the process must make a planned stop then.
    """
    async with asyncio.TaskGroup() as group:
        for controller in controllers:
            group.create_task(_run(controller), name=controller.name)


async def run_until_cancelled(controller: Controller) -> None:
    """Run a controller until this task is cancelled.

    :raises ControllerEndedError: if it returns, or awaits something that somebody else cancelled.
    :raises Exception: if it fails.
    """
    task = asyncio.current_task()
    assert task is not None
    try:
        await controller.run()
    except asyncio.CancelledError as exc:
        if task.cancelling():
            raise
        raise ControllerEndedError(f"{controller.name}: something it awaits was cancelled") from exc
    if not task.cancelling():
        raise ControllerEndedError(f"{controller.name}: returned")


async def _run(controller: Controller) -> None:
    try:
        await run_until_cancelled(controller)
    except Exception:
        structlog.get_logger().exception("background task failed", task=controller.name)
        raise
