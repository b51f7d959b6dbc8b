"""Restart of controllers that fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead_core.blackboard._controller import run_until_cancelled

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cornellead_core.blackboard._controller import Controller

MIN_RESTART_DELAY_S = 0.1
"""Delay before a controller is restarted; doubled at each further failure."""
MAX_RESTART_DELAY_S = 1.0
"""Maximum delay: half of the 2 s within which a change has to take effect."""
STABLE_RUN_S = 30.0
"""Duration of a run after which the next failure counts as the first one."""


async def supervise_controllers(
    controllers: Sequence[Controller], *, on_failure: Callable[[str], None]
) -> None:
    """Run controllers until this task is cancelled, and restart each one that fails.

    Used by gateways, whose requests in progress are worth more than a clean state: the other
    controllers and all requests go on.

    :param on_failure: Called with the name of each controller that failed.
    """
    async with asyncio.TaskGroup() as group:
        for controller in controllers:
            group.create_task(_supervise(controller, on_failure), name=controller.name)


async def _supervise(controller: Controller, on_failure: Callable[[str], None]) -> None:
    loop = asyncio.get_running_loop()
    delay_s = MIN_RESTART_DELAY_S
    while True:
        started_at = loop.time()
        try:
            await run_until_cancelled(controller)
            return
        except Exception:
            if loop.time() - started_at > STABLE_RUN_S:
                delay_s = MIN_RESTART_DELAY_S
            structlog.get_logger().exception(
                "background task failed", task=controller.name, restart_in_s=delay_s
            )
            on_failure(controller.name)
        await asyncio.sleep(delay_s)
        delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)
