"""Fixtures for service calls through agents on a virtual clock."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from tests.guarantees.claim_histories import World
from tests.guarantees.claim_histories import run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    RunScenario = Callable[[Callable[[World], Awaitable[None]]], None]


@pytest.fixture
def run_scenario() -> RunScenario:
    """Return a function that runs a scenario with two agents and fails if a task raised."""

    def run(scenario: Callable[[World], Awaitable[None]]) -> None:
        async def main() -> None:
            world = World(rng=random.Random(3), agents=2)
            await scenario(world)
            assert not world.task_errors

        run_in_virtual_time(main())

    return run
