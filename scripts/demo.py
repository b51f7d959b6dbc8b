"""Runs the fleet of Imigongo under load, with one crash and one graceful shutdown, and checks all
guarantees: ``python -m scripts.demo``."""

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
from scripts.fleet import interrupt_on_sigterm
from scripts.fleet import plan_imigongo
from scripts.traffic import Caller
from scripts.traffic import ChatLoad
from scripts.traffic import ChatShape
from scripts.traffic import FleetMonitor
from scripts.traffic import Tally

SEED = 20
CONCURRENT_CHATS = 90
TOKEN_INTERVAL_S = 0.02
BOOKING_CALLERS = 6
"""Concurrent callers that each book one trip after the other."""
TRAFFIC_DURATION_S = 40.0
FINISH_TIMEOUT_S = 40.0
"""Time limit for requests and events that are in progress at the end of the traffic."""
KILL_AT_S = 12.0
"""Time of the crash in traffic of the default duration; scaled to other durations."""
RESTART_AFTER_S = 3.0
DRAIN_AT_S = 24.0
"""Time of the graceful shutdown in traffic of the default duration; scaled to other durations."""
DRAIN_TIMEOUT_S = 15.0
KILLED_SERVER = "engine-2"
DRAINED_SERVER = "engine-5"
CONTROL_BUDGET_BYTES_PER_S = 3000.0
TRUNCATED_RESPONSE_FRACTION = 0.1
"""Fraction of responses that one booking server truncates after the effect."""
CHAT_TEAMS = ("tours", "lodges", "flights", "transfers", "galleries", "events", "support")
SHAPE = ChatShape(teams=CHAT_TEAMS, model="chat")


class Demo:
    """Load and injected failures on a running fleet.

    :param duration_s: Duration of the load.
    """

    def __init__(self, *, fleet: Fleet, client: httpx.AsyncClient, duration_s: float) -> None:
        self._fleet = fleet
        self._client = client
        self._duration_s = duration_s
        self._rng = random.Random(SEED)
        self._tally = Tally()
        self._stop_at = 0.0
        self._started_at = 0.0
        self._monitor = FleetMonitor(fleet=fleet, client=client)

    async def run(self) -> tuple[Tally, dict[str, Any]]:
        """Run the load; returns the tally of the callers and a summary to print."""
        self._fleet.set_faults("booking-1", cut_after=TRUNCATED_RESPONSE_FRACTION)
        self._started_at = time.monotonic()
        self._stop_at = self._started_at + self._duration_s
        monitor_task = asyncio.create_task(self._monitor.run())
        try:
            async with asyncio.timeout(self._duration_s + FINISH_TIMEOUT_S):
                await self._send_traffic()
        except TimeoutError:
            self._tally.violations.append("requests did not end within the time limit")
        monitor_task.cancel()
        return self._tally, await self._summarize()

    async def _send_traffic(self) -> None:
        async with asyncio.TaskGroup() as group:
            chats = ChatLoad(caller=self._new_caller(), shape=SHAPE, rng=self._rng)
            group.create_task(chats.run(chats=CONCURRENT_CHATS, stop_at=self._stop_at))
            for number in range(BOOKING_CALLERS):
                group.create_task(self._book_trips(number))
            group.create_task(self._inject_failures())
            group.create_task(self._print_progress())

    def _new_caller(self) -> Caller:
        return Caller(
            client=self._client, routers=self._fleet.router_urls, tally=self._tally, rng=self._rng
        )

    async def _book_trips(self, number: int) -> None:
        caller = self._new_caller()
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

    async def _inject_failures(self) -> None:
        scale = self._duration_s / TRAFFIC_DURATION_S
        await asyncio.sleep(KILL_AT_S * scale)
        _print(f"kill the agent of {KILLED_SERVER} (SIGKILL)")
        killed_at = time.monotonic()
        self._fleet.kill(f"agent-{KILLED_SERVER}")
        await asyncio.sleep(RESTART_AFTER_S)
        await asyncio.to_thread(self._fleet.restart, f"agent-{KILLED_SERVER}")
        self._monitor.unavailable[KILLED_SERVER] = [(killed_at, time.monotonic())]
        _print(f"the agent of {KILLED_SERVER} is ready again")
        await asyncio.sleep((DRAIN_AT_S - KILL_AT_S) * scale - RESTART_AFTER_S)
        await self._drain()

    async def _drain(self) -> None:
        name = f"agent-{DRAINED_SERVER}"
        cut_before = self._tally.truncated_streams
        _print(f"shut down the agent of {DRAINED_SERVER} gracefully (SIGTERM)")
        stopped_at = time.monotonic()
        self._fleet.terminate(name)
        status = await asyncio.to_thread(self._fleet.processes[name].wait, DRAIN_TIMEOUT_S)
        if status != 0:
            self._tally.violations.append(
                f"graceful shutdown of {name} failed or timed out: exit status {status}"
            )
        if self._tally.truncated_streams > cut_before:
            self._tally.violations.append("a graceful shutdown cut off a request in progress")
        _print(f"the agent of {DRAINED_SERVER} exited after {time.monotonic() - stopped_at:.1f} s")
        await asyncio.to_thread(self._fleet.restart, name)
        self._monitor.unavailable[DRAINED_SERVER] = [(stopped_at, time.monotonic())]
        _print(f"the agent of {DRAINED_SERVER} is ready again")

    async def _print_progress(self) -> None:
        while time.monotonic() < self._stop_at:
            await asyncio.sleep(5.0)
            tally = self._tally
            _print(
                f"{time.monotonic() - self._started_at:4.0f} s: {tally.completed} completed, "
                f"{tally.refused_not_run} not run, {tally.unknown} unknown, "
                f"{tally.truncated_streams} cut, "
                f"reuse {tally.prompt_reuse:.2f}"
            )

    async def _summarize(self) -> dict[str, Any]:
        tally = self._tally
        effects = await asyncio.to_thread(self._fleet.effects)
        effects_by_call = {
            name: count for name, count in effects.items() if name in tally.outcome_by_call
        }
        duplicates = tally.check_effects(effects)
        skew = await self._monitor.skew()
        _print(
            f"engines: {skew.starts} starts, {skew.starts_above_bound} above the bound, "
            f"load is {skew.mean_load_ratio:.2f} times the mean on average"
        )
        if skew.starts_above_bound:
            tally.violations.append(
                f"{skew.starts_above_bound} requests started above the load bound"
            )
        peak_rates = self._monitor.control_rate.peak_bytes_per_s
        for name, rate in peak_rates.items():
            if rate > CONTROL_BUDGET_BYTES_PER_S:
                tally.violations.append(f"control traffic of {name} peaked at {rate:.0f} B/s")
        if not tally.completed:
            tally.violations.append("no request completed")
        return {
            "requests": tally.requests,
            "completed": tally.completed,
            "refused_not_run": tally.refused_not_run,
            "unknown": tally.unknown,
            "cut": tally.truncated_streams,
            "effects": sum(effects_by_call.values()),
            "duplicate_effects": duplicates,
            "prompt_reuse": round(tally.prompt_reuse, 4),
            "max_over_mean_load": round(skew.max_load_ratio, 3),
            "control_bytes_per_second_max": round(max(peak_rates.values(), default=0.0)),
            "first_token_ms_p95": round(tally.first_token_quantile_ms(0.95), 1),
            "processes": len(self._fleet.processes),
        }


async def _run(duration_s: float) -> int:
    fleet = Fleet(plan=plan_imigongo()._replace(token_interval_s=TOKEN_INTERVAL_S))
    _print(f"starting the fleet; settings and logs are in build/{fleet.directory.name}")
    started_at = time.monotonic()
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=CONCURRENT_CHATS)
    try:
        await asyncio.to_thread(fleet.start)
        _print(f"{len(fleet.processes)} processes ready in {time.monotonic() - started_at:.1f} s")
        async with httpx.AsyncClient(limits=limits) as client:
            tally, summary = await Demo(fleet=fleet, client=client, duration_s=duration_s).run()
    finally:
        fleet.stop()
    for code, count in sorted(tally.error_counts.items()):
        _print(f"retried errors: {count} x {code}")
    for violation in tally.violations:
        _print(f"FAILED: {violation}")
    sys.stdout.write(json.dumps(summary) + "\n")
    return 1 if tally.violations else 0


def _print(line: str) -> None:
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


def main() -> int:
    """Run the demo; returns 1 when a check failed."""
    interrupt_on_sigterm()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=TRAFFIC_DURATION_S, help="duration of the traffic"
    )
    return asyncio.run(_run(parser.parse_args().seconds))


if __name__ == "__main__":
    sys.exit(main())
