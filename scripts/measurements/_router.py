"""What one router sustains on one core, and the delay that it adds."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import NamedTuple

import httpx

from scripts.fleet import FleetPlan
from scripts.fleet import RouterPlan
from scripts.fleet import ServerPlan
from scripts.fleet import team_token
from scripts.measurements._session import Session
from scripts.measurements._session import open_session

REQUESTS_PER_S = 44.0
TOKENS_PER_S = 18_000.0
ADDED_TARGET_MS = 10.0
MEMORY_TARGET_MB = 64.0
ENGINES = 8
CAPACITY = 48
TOKENS = round(TOKENS_PER_S / REQUESTS_PER_S)
WARM_UP_S = 15.0
MEASURED_S = 20.0
EVENT = b"\nid: "
DONE = b"data: [DONE]"
TAIL_BYTES = 200
"""End of a stream that holds the last event and the comment after it."""
TEAMS = ("tours", "lodges", "flights", "transfers", "galleries", "events", "support")


class _Sample(NamedTuple):
    requests: int
    tokens: int
    cpu_s: float
    at_s: float


class _Counter:
    def __init__(self) -> None:
        self.completed = 0
        self.failed = 0
        self.events = 0


def _plan() -> FleetPlan:
    dcs = ("kgl-a", "kgl-b", "kgl-c")
    return FleetPlan(
        user="imigongo",
        region="kigali",
        routers=(RouterPlan("router-1", dcs[0]),),
        servers=tuple(
            ServerPlan(f"engine-{i + 1}", dcs[i % 3], capacity=CAPACITY, models=("chat",))
            for i in range(ENGINES)
        ),
        cold_start=False,
    )


async def measure_router() -> dict[str, Any]:
    """Send requests at the target rate and read the router's processor time and added delay."""
    async with open_session(_plan()) as session:
        counter = _Counter()
        first, last = await _send(session, counter)
        status = (await session.client.get(f"{session.fleet.router_urls[0]}/status")).json()
        added = status["added_first_token"]["p99_ms"]
        span_s = last.at_s - first.at_s
        requests = (last.requests - first.requests) / span_s
        tokens = (last.tokens - first.tokens) / span_s
        cores = (last.cpu_s - first.cpu_s) / span_s
        resident = session.watcher.resident_mb.get("router-1", 0.0)
        return {
            "met": (
                requests >= 0.95 * REQUESTS_PER_S
                and tokens >= 0.95 * TOKENS_PER_S
                and added < ADDED_TARGET_MS
                and resident < MEMORY_TARGET_MB
                and not counter.failed
            ),
            "requests_per_second": round(requests, 1),
            "tokens_per_second": round(tokens),
            "failed": counter.failed,
            "router_cores": round(cores, 3),
            "added_first_token_ms_p99": added,
            "resident_mb": round(resident, 1),
        }


async def _send(session: Session, counter: _Counter) -> tuple[_Sample, _Sample]:
    started_at = time.monotonic()
    end_at = started_at + WARM_UP_S + MEASURED_S
    first: _Sample | None = None
    async with asyncio.TaskGroup() as group:
        number, due_at = 0, started_at
        while due_at < end_at:
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            group.create_task(_chat(session, counter, number))
            number += 1
            due_at += session.rng.expovariate(REQUESTS_PER_S)
            if first is None and due_at > started_at + WARM_UP_S:
                first = _sample(session, counter)
        last = _sample(session, counter)
    assert first is not None
    return first, last


def _sample(session: Session, counter: _Counter) -> _Sample:
    cpu_s = session.fleet.processes["router-1"].usage().cpu_s
    return _Sample(counter.completed, counter.events, cpu_s, time.monotonic())


async def _chat(session: Session, counter: _Counter, number: int) -> None:
    body = {
        "model": "chat",
        "messages": [{"role": "user", "content": f"question {number} " * 20}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    headers = {"authorization": f"Bearer {team_token(TEAMS[number % len(TEAMS)])}"}
    url = f"{session.fleet.router_urls[0]}/v1/chat/completions"
    tail = b""
    try:
        async with session.client.stream(
            "POST", url, json=body, headers=headers, timeout=60.0
        ) as resp:
            # Events are counted without parsing, so that the sender keeps up on one core.
            async for chunk in resp.aiter_raw():
                counter.events += chunk.count(EVENT) + chunk.startswith(EVENT[1:])
                tail = (tail + chunk)[-TAIL_BYTES:]
    except httpx.HTTPError:
        counter.failed += 1
        return
    if resp.status_code == 200 and DONE in tail:
        counter.completed += 1
    else:
        counter.failed += 1
