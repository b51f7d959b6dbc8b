"""Service while a data centre is taken out and returns."""

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

DC = "kgl-b"
GRACE_S = 3.0
"""Time after which a data centre that is out receives no new work."""
OUT_AT_S = 12.0
BACK_AT_S = 26.0
SECONDS = 42.0
SURGE_WINDOW_S = 3.0
CHATS = 60
SHAPE = ChatShape(teams=("tours", "lodges", "flights", "transfers", "galleries"), model="chat")


async def measure_data_centre() -> dict[str, Any]:
    """Measure cut streams, starts in the data centre while it is out, and its return."""
    async with open_session(plan_imigongo()._replace(token_interval_s=0.02)) as session:
        switching = asyncio.create_task(_switch(session))
        await session.hold_chats(SHAPE, chats=CHATS, seconds=SECONDS)
        out_at, back_at = await switching
        engines = [engine.name for engine in session.fleet.plan.engines if engine.dc == DC]
        histories = await session.watcher.histories()
        changes = [histories[name] for name in engines]
        late = sum(_starts(each, out_at + GRACE_S, back_at) for each in changes)
        # The cold limit doubles with success, so the first seconds show a surge if there is one.
        peak = max(_peak(each, back_at, back_at + SURGE_WINDOW_S) for each in changes)
        returned = sum(_starts(each, back_at, back_at + SURGE_WINDOW_S) for each in changes)
        tally = session.tally
        return {
            "met": late == 0 and tally.cut == 0 and returned > 0 and not tally.broken,
            "starts_after_3_s_out": late,
            "starts_in_3_s_after_return": returned,
            "peak_load_in_3_s_after_return": peak,
            "requests": tally.requests,
            "completed": tally.completed,
            "cut": tally.cut,
            "prompt_reuse": round(tally.prompt_reuse, 4),
            "first_token_ms_p95": round(tally.first_token_ms(0.95), 1),
            "broken": tally.broken,
        }


async def _switch(session: Session) -> tuple[float, float]:
    await asyncio.sleep(OUT_AT_S)
    offset = await asyncio.to_thread(_publish, session, "out", 0)
    out_at = time.monotonic()
    await asyncio.sleep(BACK_AT_S - OUT_AT_S)
    await asyncio.to_thread(_publish, session, "in", offset)
    return out_at, time.monotonic()


def _publish(session: Session, state: str, base: int) -> int:
    objects = {f"data_centre/{DC}": {"state": state}}
    return session.fleet.publish(objects, author="measure", base=base)


def _starts(changes: LoadChanges, since_s: float, until_s: float) -> int:
    return sum(change > 0 and since_s <= at_s < until_s for at_s, change in changes)


def _peak(changes: LoadChanges, since_s: float, until_s: float) -> int:
    load, peak = 0, 0
    for at_s, change in changes:
        load += change
        if since_s <= at_s < until_s:
            peak = max(peak, load)
    return peak
