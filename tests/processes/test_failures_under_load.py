"""Separate processes killed, frozen and cut off from the platform while callers send requests."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import httpx
import pytest
from scripts.traffic import Caller
from scripts.traffic import ChatLoad
from scripts.traffic import ChatShape
from scripts.traffic import Tally

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from scripts.fleet import Fleet

pytestmark = pytest.mark.processes

SEED = 11
TEAMS = ("tours", "lodges", "flights", "transfers")
SHAPE = ChatShape(teams=TEAMS, model="chat", ramp_s=1.0)
OUT_OF_SERVICE_S = 3.0
"""Time after which a data centre that is taken out receives no new work."""


async def _book(caller: Caller, *, number: int, stop_at: float) -> None:
    trip = 0
    while time.monotonic() < stop_at:
        trip += 1
        for operation in ("hold", "payment"):
            await caller.call_service(
                team=TEAMS[number % len(TEAMS)],
                service="booking",
                operation=operation,
                key=f"{operation}-mix-{number}-{trip}",
                body={"trip": trip},
            )


async def _run_load(
    fleet: Fleet,
    *,
    seconds: float,
    bookers: int,
    chats: int,
    disturb: Callable[[], Awaitable[None]],
) -> Tally:
    tally, rng = Tally(), random.Random(SEED)
    stop_at = time.monotonic() + seconds
    async with httpx.AsyncClient(limits=httpx.Limits(max_connections=None)) as client:
        caller = Caller(client=client, routers=fleet.router_urls, tally=tally, rng=rng)
        async with asyncio.TaskGroup() as group:
            for number in range(bookers):
                group.create_task(_book(caller, number=number, stop_at=stop_at))
            if chats:
                load = ChatLoad(caller=caller, shape=SHAPE, rng=rng)
                group.create_task(load.run(chats=chats, stop_at=stop_at))
            group.create_task(disturb())  # type: ignore[arg-type]
    return tally


async def test_bookings_run_at_most_once_through_kills_freezes_and_outages(fleet: Fleet) -> None:
    """Guards against duplicate effects and false `not_run` when failures come together."""

    async def disturb() -> None:
        fleet.set_faults("booking-3", cut_after=0.1)
        await asyncio.sleep(0.5)
        fleet.pause("agent-booking-1")
        fleet.set_faults("platform", lost_answers=0.3)
        await asyncio.sleep(1.5)
        fleet.kill("agent-booking-2")
        fleet.resume("agent-booking-1")
        await asyncio.sleep(0.5)
        fleet.set_faults("platform", log_outage=True)
        await asyncio.sleep(1.5)
        fleet.set_faults("platform", lost_answers=0.3, late_append_s=0.5)
        await asyncio.to_thread(fleet.restart, "agent-booking-2")
        fleet.pause("router-1")
        await asyncio.sleep(1.0)
        fleet.resume("router-1")
        fleet.set_faults("platform")
        fleet.set_faults("booking-3")

    tally = await _run_load(fleet, seconds=8.0, bookers=8, chats=0, disturb=disturb)
    effects = await asyncio.to_thread(fleet.effects)
    assert tally.check_effects(effects) == 0
    assert tally.broken == []
    assert "completed" in set(tally.keys.values())


async def test_a_data_centre_that_is_out_gets_no_new_work_and_no_stream_is_cut(
    fleet: Fleet,
) -> None:
    """Guards against work in a data centre that operators took out, and against cut streams."""
    inside = [engine.name for engine in fleet.plan.engines if engine.dc == "kgl-b"]
    admitted: list[int] = []

    def count() -> int:
        statuses = fleet.statuses()
        return sum(int(statuses[name]["admissions"]) for name in inside)

    async def disturb() -> None:
        await asyncio.sleep(2.0)
        value = {"data_centre/kgl-b": {"state": "out"}}
        version = await asyncio.to_thread(lambda: fleet.publish(value, author="test", base=0))
        fleet.set_faults("platform", log_outage=True, hosts_outage=True)
        await asyncio.sleep(OUT_OF_SERVICE_S)
        admitted.append(await asyncio.to_thread(count))
        await asyncio.sleep(2.0)
        admitted.append(await asyncio.to_thread(count))
        fleet.set_faults("platform")
        back = {"data_centre/kgl-b": {"state": "in"}}
        await asyncio.to_thread(lambda: fleet.publish(back, author="test", base=version))
        await asyncio.sleep(4.0)
        admitted.append(await asyncio.to_thread(count))

    tally = await _run_load(fleet, seconds=12.0, bookers=0, chats=24, disturb=disturb)
    assert admitted[1] == admitted[0]
    assert admitted[2] > admitted[1]
    assert tally.cut == 0
    assert tally.broken == []
