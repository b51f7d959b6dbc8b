"""Router and agent of the own interface whose background task fails."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import structlog

from cornellead.process import RouterProcess
from cornellead_agent.process import Agent
from cornellead_core.settings import load_agent_settings
from cornellead_core.settings import load_router_settings

if TYPE_CHECKING:
    from collections.abc import Callable

EXAMPLES = Path(__file__).parents[2] / "examples" / "imigongo"


class FailingController:
    """Fails soon after its start."""

    name = "failing"

    async def run(self) -> None:
        await asyncio.sleep(0.2)
        raise ValueError("poisoned")


@pytest.mark.parametrize("kind", ["router", "agent"])
async def test_failed_task_leads_to_a_planned_stop(
    tmp_path: Path, free_address: Callable[[], str], kind: str
) -> None:
    """Guards against requests that are cut because a background task failed."""
    text = (EXAMPLES / f"{kind}.yaml").read_text()
    for name, prefix in (("http", ""), ("control", ""), ("platform_url", "http://")):
        (line,) = (line for line in text.splitlines() if line.strip().startswith(f"{name}:"))
        text = text.replace(line.strip(), f"{name}: {prefix}{free_address()}")
    path = tmp_path / f"{kind}.yaml"
    path.write_text(text)
    process: RouterProcess | Agent
    if kind == "router":
        process = RouterProcess(settings=load_router_settings(str(path)).unwrap())
        process._controllers = [FailingController()]
    else:
        process = Agent(settings=load_agent_settings(str(path)).unwrap())
        process._controllers = lambda: [FailingController()]  # type: ignore[method-assign]
    with structlog.testing.capture_logs() as lines_of_log, pytest.raises(ExceptionGroup):
        await asyncio.wait_for(process.run(), 10.0)
    events = [line["event"] for line in lines_of_log]
    assert events[0] == "background task failed"
    assert {"drain started", "draining"} & set(events)
