"""Starts the fleet of Imigongo, sends traffic through one failure and one planned stop, and checks
every promise: ``python -m scripts.demo``."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from typing import Any

import httpx

from scripts.fleet import Fleet
from scripts.fleet import exit_on_sigterm
from scripts.fleet import plan_imigongo
from scripts.traffic import Caller
from scripts.traffic import ChatLoad
from scripts.traffic import ChatShape
from scripts.traffic import Tally
from scripts.traffic import Watcher

SEED = 20
CHATS = 90
TOKEN_INTERVAL_S = 0.02
BOOKINGS = 6
"""Callers that book one trip after the other."""
TRAFFIC_S = 40.0
FINISH_S = 40.0
"""Longest time for requests and events in progress to end after the traffic."""
KILL_AT_S = 12.0
RESTART_AFTER_S = 3.0
DRAIN_AT_S = 24.0
DRAIN_TIMEOUT_S = 15.0
KILLED = "engine-2"
DRAINED = "engine-5"
CONTROL_BUDGET_BYTES_PER_S = 3000.0
CUT_ANSWERS = 0.1
"""Share of answers of one booking server that are cut short after the effect."""
CHAT_TEAMS = ("tours", "lodges", "flights", "transfers", "galleries", "events", "support")
SHAPE = ChatShape(teams=CHAT_TEAMS, model="chat")


class Demo:
    """Traffic and events on a running fleet."""

    def __init__(self, *, fleet: Fleet, client: httpx.AsyncClient, seconds: float) -> None:
        self._fleet = fleet
        self._client = client
        self._seconds = seconds
        self._rng = random.Random(SEED)
        self._tally = Tally()
        self._stop_at = 0.0
        self._started_at = 0.0
        self._watcher = Watcher(fleet=fleet, client=client)

    async def run(self) -> tuple[Tally, dict[str, Any]]:
        """Run the traffic and return what was seen."""
        self._fleet.set_faults("booking-1", cut_after=CUT_ANSWERS)
        self._started_at = time.monotonic()
        self._stop_at = self._started_at + self._seconds
        watching = asyncio.create_task(self._watcher.run())
        try:
            async with asyncio.timeout(self._seconds + FINISH_S):
                await self._send_traffic()
        except TimeoutError:
            self._tally.broken.append("requests did not end in time")
        watching.cancel()
        return self._tally, await self._summarize()

    async def _send_traffic(self) -> None:
        async with asyncio.TaskGroup() as group:
            chats = ChatLoad(caller=self._caller(), shape=SHAPE, rng=self._rng)
            group.create_task(chats.run(chats=CHATS, stop_at=self._stop_at))
            for number in range(BOOKINGS):
                group.create_task(self._book_trips(number))
            group.create_task(self._disturb())
            group.create_task(self._show_progress())

    def _caller(self) -> Caller:
        return Caller(
            client=self._client, routers=self._fleet.router_urls, tally=self._tally, rng=self._rng
        )

    async def _book_trips(self, number: int) -> None:
        caller = self._caller()
        team = CHAT_TEAMS[number % len(CHAT_TEAMS)]
        trip = 0
        while time.monotonic() < self._stop_at:
            trip += 1
            for operation, key in [
                ("availability", ""),
                ("hold", f"hold-{number}-{trip}"),
                ("payment", f"payment-{number}-{trip}"),
            ]:
                await caller.call_service(
                    team=team, service="booking", operation=operation, key=key, body={"trip": trip}
                )
            await asyncio.sleep(self._rng.uniform(0.3, 0.9))

    async def _disturb(self) -> None:
        scale = self._seconds / TRAFFIC_S
        await asyncio.sleep(KILL_AT_S * scale)
        _show(f"kill the agent of {KILLED} without notice")
        killed_at = time.monotonic()
        self._fleet.kill(f"agent-{KILLED}")
        await asyncio.sleep(RESTART_AFTER_S)
        await asyncio.to_thread(self._fleet.restart, f"agent-{KILLED}")
        self._watcher.absent[KILLED] = [(killed_at, time.monotonic())]
        _show(f"the agent of {KILLED} is back")
        await asyncio.sleep((DRAIN_AT_S - KILL_AT_S) * scale - RESTART_AFTER_S)
        await self._drain()

    async def _drain(self) -> None:
        name = f"agent-{DRAINED}"
        cut_before = self._tally.cut
        _show(f"planned stop of the agent of {DRAINED}")
        stopped_at = time.monotonic()
        self._fleet.terminate(name)
        status = await asyncio.to_thread(self._fleet.processes[name].wait, DRAIN_TIMEOUT_S)
        if status != 0:
            self._tally.broken.append(f"planned stop of {name} ended with status {status}")
        if self._tally.cut > cut_before:
            self._tally.broken.append("a planned stop cut a request in progress")
        _show(f"the agent of {DRAINED} stopped after {time.monotonic() - stopped_at:.1f} s")
        await asyncio.to_thread(self._fleet.restart, name)
        self._watcher.absent[DRAINED] = [(stopped_at, time.monotonic())]
        _show(f"the agent of {DRAINED} is back")

    async def _show_progress(self) -> None:
        while time.monotonic() < self._stop_at:
            await asyncio.sleep(5.0)
            tally = self._tally
            _show(
                f"{time.monotonic() - self._started_at:4.0f} s: {tally.completed} completed, "
                f"{tally.refused_not_run} not run, {tally.unknown} unknown, {tally.cut} cut, "
                f"reuse {tally.prompt_reuse:.2f}"
            )

    async def _summarize(self) -> dict[str, Any]:
        tally = self._tally
        effects = await asyncio.to_thread(self._fleet.effects)
        booked = {name: count for name, count in effects.items() if name in tally.keys}
        duplicates = tally.check_effects(effects)
        skew = await self._watcher.skew()
        _show(
            f"engines: {skew.starts} starts, {skew.above_bound} above the bound, "
            f"load over mean {skew.mean_over_mean:.2f} on average"
        )
        if skew.above_bound:
            tally.broken.append(f"{skew.above_bound} starts above the load bound")
        control = self._watcher.control.highest
        for name, rate in control.items():
            if rate > CONTROL_BUDGET_BYTES_PER_S:
                tally.broken.append(f"control traffic of {name} reached {rate:.0f} B/s")
        if not tally.completed:
            tally.broken.append("no request completed")
        return {
            "requests": tally.requests,
            "completed": tally.completed,
            "refused_not_run": tally.refused_not_run,
            "unknown": tally.unknown,
            "cut": tally.cut,
            "effects": sum(booked.values()),
            "duplicate_effects": duplicates,
            "prompt_reuse": round(tally.prompt_reuse, 4),
            "max_over_mean_load": round(skew.max_over_mean, 3),
            "control_bytes_per_second_max": round(max(control.values(), default=0.0)),
            "first_token_ms_p95": round(tally.first_token_ms(0.95), 1),
            "processes": len(self._fleet.processes),
        }


async def _run(seconds: float) -> int:
    fleet = Fleet(plan=plan_imigongo()._replace(token_interval_s=TOKEN_INTERVAL_S))
    _show(f"start the fleet; settings and logs are in {fleet.directory.name}")
    started_at = time.monotonic()
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=CHATS)
    try:
        await asyncio.to_thread(fleet.start)
        _show(f"{len(fleet.processes)} processes ready in {time.monotonic() - started_at:.1f} s")
        async with httpx.AsyncClient(limits=limits) as client:
            tally, summary = await Demo(fleet=fleet, client=client, seconds=seconds).run()
    finally:
        fleet.stop()
    for code, count in sorted(tally.codes.items()):
        _show(f"errors retried: {count} x {code}")
    for broken in tally.broken:
        _show(f"BROKEN: {broken}")
    sys.stdout.write(json.dumps(summary) + "\n")
    return 1 if tally.broken else 0


def _show(line: str) -> None:
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


def main() -> int:
    """Run the demo."""
    exit_on_sigterm()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=TRAFFIC_S, help="duration of the traffic")
    return asyncio.run(_run(parser.parse_args().seconds))


if __name__ == "__main__":
    sys.exit(main())
