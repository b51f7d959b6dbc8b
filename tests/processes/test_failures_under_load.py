"""Killed and paused processes and platform outages while callers send requests."""

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
OUT_OF_SERVICE_DELAY_S = 3.0
"""Time from taking a data centre out of service until it admits no new work."""


async def _send_bookings(caller: Caller, *, number: int, stop_at: float) -> None:
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
    booking_callers: int,
    chats: int,
    inject_faults: Callable[[], Awaitable[None]],
) -> Tally:
    tally, rng = Tally(), random.Random(SEED)
    stop_at = time.monotonic() + seconds
    async with httpx.AsyncClient(limits=httpx.Limits(max_connections=None)) as client:
        caller = Caller(client=client, routers=fleet.router_urls, tally=tally, rng=rng)
        async with asyncio.TaskGroup() as group:
            for number in range(booking_callers):
                group.create_task(_send_bookings(caller, number=number, stop_at=stop_at))
            if chats:
                load = ChatLoad(caller=caller, shape=SHAPE, rng=rng)
                group.create_task(load.run(chats=chats, stop_at=stop_at))
            group.create_task(inject_faults())  # type: ignore[arg-type]
    return tally


async def test_bookings_run_at_most_once_under_combined_failures(fleet: Fleet) -> None:
    """Guards against duplicate effects and a false `not_run` when several failures coincide."""

    async def inject_faults() -> None:
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

    tally = await _run_load(
        fleet, seconds=8.0, booking_callers=8, chats=0, inject_faults=inject_faults
    )
    effects = await asyncio.to_thread(fleet.effects)
    assert tally.check_effects(effects) == 0
    assert tally.violations == []
    assert "completed" in set(tally.outcome_by_call.values())


async def test_data_centre_out_of_service_gets_no_new_work_and_keeps_streams(fleet: Fleet) -> None:
    """Guards against new work in a data centre that is out of service, and against cut streams.

    The log and the host list of the platform fail right after the change is appended.
    """
    names_in_dc = [engine.name for engine in fleet.plan.engines if engine.dc == "kgl-b"]
    admission_counts: list[int] = []

    def count_admissions() -> int:
        statuses = fleet.agent_statuses()
        return sum(int(statuses[name]["admissions"]) for name in names_in_dc)

    async def inject_faults() -> None:
        await asyncio.sleep(2.0)
        value = {"data_centre/kgl-b": {"state": "out"}}
        version = await asyncio.to_thread(lambda: fleet.publish(value, author="test", base=0))
        fleet.set_faults("platform", log_outage=True, hosts_outage=True)
        await asyncio.sleep(OUT_OF_SERVICE_DELAY_S)
        admission_counts.append(await asyncio.to_thread(count_admissions))
        await asyncio.sleep(2.0)
        admission_counts.append(await asyncio.to_thread(count_admissions))
        fleet.set_faults("platform")
        in_service = {"data_centre/kgl-b": {"state": "in"}}
        await asyncio.to_thread(lambda: fleet.publish(in_service, author="test", base=version))
        await asyncio.sleep(4.0)
        admission_counts.append(await asyncio.to_thread(count_admissions))

    tally = await _run_load(
        fleet, seconds=12.0, booking_callers=0, chats=24, inject_faults=inject_faults
    )
    assert admission_counts[1] == admission_counts[0]
    assert admission_counts[2] > admission_counts[1]
    assert tally.truncated_streams == 0
    assert tally.violations == []
