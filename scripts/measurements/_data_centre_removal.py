"""Behaviour while a data centre is taken out of service and put back."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

from scripts.fleet import plan_imigongo
from scripts.measurements._session import Session
from scripts.measurements._session import open_session
from scripts.traffic import ChatShape

if TYPE_CHECKING:
    from scripts.traffic import LoadChanges

DATA_CENTRE = "kgl-b"
REMOVAL_GRACE_S = 3.0
"""Time within which a data centre that is taken out stops receiving requests."""
REMOVE_AT_S = 12.0
RESTORE_AT_S = 26.0
DURATION_S = 42.0
SURGE_WINDOW_S = 3.0
CONCURRENT_CHATS = 60
SHAPE = ChatShape(teams=("tours", "lodges", "flights", "transfers", "galleries"), model="chat")


async def measure_data_centre_removal() -> dict[str, Any]:
    """Measure cut streams, requests to the data centre while it is out, and the load on its return.

    The target is met when no stream is cut, no request starts in the data centre more than 3 s
    after its removal, and requests start there again within 3 s of its return.
    """
    async with open_session(plan_imigongo()._replace(token_interval_s=0.02)) as session:
        switch_task = asyncio.create_task(_remove_and_restore(session))
        await session.run_chats(SHAPE, chats=CONCURRENT_CHATS, seconds=DURATION_S)
        removed_at, restored_at = await switch_task
        engines = [engine.name for engine in session.fleet.plan.engines if engine.dc == DATA_CENTRE]
        histories = await session.monitor.load_histories()
        changes = [histories[name] for name in engines]
        late_starts = sum(
            _count_starts(each, removed_at + REMOVAL_GRACE_S, restored_at) for each in changes
        )
        # The cold start limit doubles as requests succeed, so a surge shows in the first seconds.
        peak = max(_peak_load(each, restored_at, restored_at + SURGE_WINDOW_S) for each in changes)
        starts_after_return = sum(
            _count_starts(each, restored_at, restored_at + SURGE_WINDOW_S) for each in changes
        )
        tally = session.tally
        return {
            "met": late_starts == 0
            and tally.truncated_streams == 0
            and starts_after_return > 0
            and not tally.violations,
            "starts_after_3_s_out": late_starts,
            "starts_in_3_s_after_return": starts_after_return,
            "peak_load_in_3_s_after_return": peak,
            "requests": tally.requests,
            "completed": tally.completed,
            "cut": tally.truncated_streams,
            "prompt_reuse": round(tally.prompt_reuse, 4),
            "first_token_ms_p95": round(tally.first_token_quantile_ms(0.95), 1),
            "broken": tally.violations,
        }


async def _remove_and_restore(session: Session) -> tuple[float, float]:
    await asyncio.sleep(REMOVE_AT_S)
    offset = await asyncio.to_thread(_publish, session, "out", 0)
    removed_at = time.monotonic()
    await asyncio.sleep(RESTORE_AT_S - REMOVE_AT_S)
    await asyncio.to_thread(_publish, session, "in", offset)
    return removed_at, time.monotonic()


def _publish(session: Session, state: str, base: int) -> int:
    objects = {f"data_centre/{DATA_CENTRE}": {"state": state}}
    return session.fleet.publish(objects, author="measure", base=base)


def _count_starts(changes: LoadChanges, since_s: float, until_s: float) -> int:
    return sum(change > 0 and since_s <= at_s < until_s for at_s, change in changes)


def _peak_load(changes: LoadChanges, since_s: float, until_s: float) -> int:
    load, peak = 0, 0
    for at_s, change in changes:
        load += change
        if since_s <= at_s < until_s:
            peak = max(peak, load)
    return peak
