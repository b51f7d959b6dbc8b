"""Load skew, control traffic and memory in steady operation."""

from __future__ import annotations

from typing import Any

from scripts.fleet import plan_imigongo
from scripts.measurements._session import open_session
from scripts.traffic import ChatShape

CONTROL_TARGET_BYTES_PER_S = 3000.0
MEMORY_TARGET_MB = 64.0
FIRST_TOKEN_TARGET_MS = 630.0
DURATION_S = 40.0
CONCURRENT_CHATS = 120
SHAPE = ChatShape(teams=("tours", "lodges", "flights", "transfers", "galleries"), model="chat")


async def measure_skew_and_control() -> dict[str, Any]:
    """Measure the fleet of Imigongo at about half of its capacity.

    The target is met when no request starts above the load bound, the peaks of control traffic and
    memory and the 95th percentile of the time to first token are below their targets, and no
    guarantee is violated.
    """
    async with open_session(plan_imigongo()._replace(token_interval_s=0.02)) as session:
        await session.run_chats(SHAPE, chats=CONCURRENT_CHATS, seconds=DURATION_S)
        tally, monitor = session.tally, session.monitor
        skew = await monitor.skew()
        peak_control_rate = max(monitor.control_rate.peak_bytes_per_s.values(), default=0.0)
        peak_memory_mb = max(monitor.peak_resident_mb.values(), default=0.0)
        first_token_p95_ms = tally.first_token_quantile_ms(0.95)
        return {
            "met": (
                skew.starts_above_bound == 0
                and peak_control_rate < CONTROL_TARGET_BYTES_PER_S
                and peak_memory_mb < MEMORY_TARGET_MB
                and first_token_p95_ms < FIRST_TOKEN_TARGET_MS
                and not tally.violations
            ),
            "starts": skew.starts,
            "starts_above_bound": skew.starts_above_bound,
            "max_over_mean_load": round(skew.max_load_ratio, 3),
            "mean_over_mean_load": round(skew.mean_load_ratio, 3),
            "control_bytes_per_second_max": round(peak_control_rate),
            "resident_mb_max": round(peak_memory_mb, 1),
            "first_token_ms_p95": round(first_token_p95_ms, 1),
            "prompt_reuse": round(tally.prompt_reuse, 4),
            "requests": tally.requests,
            "completed": tally.completed,
            "cut": tally.truncated_streams,
            "broken": tally.violations,
        }
