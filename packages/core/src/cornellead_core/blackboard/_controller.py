"""Controllers and the loop that runs them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence


class Controller(Protocol):
    """A task that reads and writes facts until it is cancelled."""

    @property
    def name(self) -> str:
        """Name for logs and metrics."""
        ...

    async def run(self) -> None:
        """Run until cancelled; an exception is a broken invariant."""
        ...


async def run_controllers(controllers: Sequence[Controller]) -> None:
    """Run controllers until one fails or this task is cancelled.

    :raises ExceptionGroup: when a controller breaks an invariant; the process must stop.
    """
    async with asyncio.TaskGroup() as group:
        for controller in controllers:
            group.create_task(controller.run(), name=controller.name)
