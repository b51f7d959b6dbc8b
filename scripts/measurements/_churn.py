"""Reuse of cached prompts while engines crash and chats come and go."""

from __future__ import annotations

import asyncio
from typing import Any

from scripts.fleet import plan_sabarmati
from scripts.measurements._session import Session
from scripts.measurements._session import open_session
from scripts.traffic import ChatShape

TARGET = 0.9
SECONDS = 40.0
CHATS = 60
CRASH_INTERVAL_S = 12.0
SHAPE = ChatShape(
    teams=("phones", "laptops", "tablets", "printers", "audio", "appliances"),
    model="bench",
    turns=8,
    think_s=(0.3, 2.0),
)


async def measure_churn() -> dict[str, Any]:
    """Measure the share of reusable prompt tokens that were found cached.

    The best possible counts every token of the last turn, also after the engine that held it
    crashed, so it is a little higher than any router can reach.
    """
    async with open_session(plan_sabarmati()) as session:
        crashing = asyncio.create_task(_crash_engines(session))
        await session.hold_chats(SHAPE, chats=CHATS, seconds=SECONDS)
        crashing.cancel()
        tally = session.tally
        skew = await session.watcher.skew()
        return {
            "met": tally.prompt_reuse >= TARGET and not tally.broken,
            "target": TARGET,
            "prompt_reuse": round(tally.prompt_reuse, 4),
            "requests": tally.requests,
            "completed": tally.completed,
            "cut": tally.cut,
            "load_over_mean": round(skew.mean_over_mean, 3),
            "first_token_ms_p95": round(tally.first_token_ms(0.95), 1),
            "broken": tally.broken,
        }


async def _crash_engines(session: Session) -> None:
    for engine in session.fleet.plan.engines:
        await asyncio.sleep(CRASH_INTERVAL_S)
        await asyncio.to_thread(session.fleet.set_faults, engine.name, crash=True)
