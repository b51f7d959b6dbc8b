"""Load skew, control traffic and memory in steady operation."""

from __future__ import annotations

from typing import Any

from scripts.fleet import plan_imigongo
from scripts.measurements._session import open_session
from scripts.traffic import ChatShape

CONTROL_TARGET_BYTES_PER_S = 3000.0
MEMORY_TARGET_MB = 64.0
FIRST_TOKEN_TARGET_MS = 630.0
SECONDS = 40.0
CHATS = 120
SHAPE = ChatShape(teams=("tours", "lodges", "flights", "transfers", "galleries"), model="chat")


async def measure_skew_and_control() -> dict[str, Any]:
    """Measure the fleet of Imigongo at about half of its capacity."""
    async with open_session(plan_imigongo()._replace(token_interval_s=0.02)) as session:
        await session.hold_chats(SHAPE, chats=CHATS, seconds=SECONDS)
        tally, watcher = session.tally, session.watcher
        skew = await watcher.skew()
        control = max(watcher.control.highest.values(), default=0.0)
        resident = max(watcher.resident_mb.values(), default=0.0)
        first_token = tally.first_token_ms(0.95)
        return {
            "met": (
                skew.above_bound == 0
                and control < CONTROL_TARGET_BYTES_PER_S
                and resident < MEMORY_TARGET_MB
                and first_token < FIRST_TOKEN_TARGET_MS
                and not tally.broken
            ),
            "starts": skew.starts,
            "starts_above_bound": skew.above_bound,
            "max_over_mean_load": round(skew.max_over_mean, 3),
            "mean_over_mean_load": round(skew.mean_over_mean, 3),
            "control_bytes_per_second_max": round(control),
            "resident_mb_max": round(resident, 1),
            "first_token_ms_p95": round(first_token, 1),
            "prompt_reuse": round(tally.prompt_reuse, 4),
            "requests": tally.requests,
            "completed": tally.completed,
            "cut": tally.cut,
            "broken": tally.broken,
        }
