"""Interface of controllers and the function that runs them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog

if TYPE_CHECKING:
    from collections.abc import Sequence


class Controller(Protocol):
    """Background task of a process that reads and writes facts."""

    @property
    def name(self) -> str:
        """Name of the task in logs and metrics."""
        ...

    async def run(self) -> None:
        """Run until cancelled; raise an exception only if an invariant is violated."""
        ...


async def run_controllers(controllers: Sequence[Controller]) -> None:
    """Run controllers until one fails or this task is cancelled.

    :raises ExceptionGroup: if a controller fails; the process must make a planned stop then.
    """
    async with asyncio.TaskGroup() as group:
        for controller in controllers:
            group.create_task(_run(controller), name=controller.name)


async def _run(controller: Controller) -> None:
    try:
        await controller.run()
    except Exception:
        structlog.get_logger().exception("background task failed", task=controller.name)
        raise
