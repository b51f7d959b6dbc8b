"""Throughput of one router on one core, and the latency that it adds."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any
from typing import NamedTuple

from scripts.fleet import FleetPlan
from scripts.fleet import RouterPlan
from scripts.fleet import ServerPlan
from scripts.fleet import read_example_objects
from scripts.fleet import team_token
from scripts.measurements._event_counter import EventCounter
from scripts.measurements._event_counter import encode_request
from scripts.measurements._session import Session
from scripts.measurements._session import open_session

REQUESTS_PER_S = 44.0
TOKENS_PER_S = 18_000.0
ADDED_TARGET_MS = 10.0
MEMORY_TARGET_MB = 64.0
ENGINES = 8
CAPACITY = 48
TOKENS_PER_REQUEST = round(TOKENS_PER_S / REQUESTS_PER_S)
WARM_UP_S = 15.0
MEASUREMENT_S = 20.0
RESPONSE_TIMEOUT_S = 60.0
TEAMS = ("transfers", "galleries", "events", "support")
"""Teams that keep the rate limits of their template, which the measurement raises."""
HIGH_LIMIT = 10_000


class _Sample(NamedTuple):
    requests: int
    tokens: int
    cpu_s: float
    sender_cpu_s: float
    at_s: float


class _RequestCounts:
    def __init__(self) -> None:
        self.completed = 0
        self.failures: Counter[str] = Counter()
        self.open_streams: set[EventCounter] = set()
        self.closed_events = 0

    @property
    def events(self) -> int:
        return self.closed_events + sum(stream.events for stream in self.open_streams)


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
    """Send requests at the target rate; measure the router's processor time and added latency."""
    async with open_session(_plan()) as session:
        await asyncio.to_thread(_raise_rate_limits, session)
        counts = _RequestCounts()
        first, last = await _send_requests(session, counts)
        status = (await session.client.get(f"{session.fleet.router_urls[0]}/status")).json()
        added_p99_ms = status["added_first_token"]["p99_ms"]
        span_s = last.at_s - first.at_s
        requests = (last.requests - first.requests) / span_s
        tokens = (last.tokens - first.tokens) / span_s
        cores = (last.cpu_s - first.cpu_s) / span_s
        resident_mb = session.monitor.peak_resident_mb.get("router-1", 0.0)
        return {
            "met": (
                requests >= 0.95 * REQUESTS_PER_S
                and tokens >= 0.95 * TOKENS_PER_S
                and added_p99_ms < ADDED_TARGET_MS
                and resident_mb < MEMORY_TARGET_MB
                and not counts.failures
            ),
            "requests_per_second": round(requests, 1),
            "tokens_per_second": round(tokens),
            "failures": counts.failures,
            "router_cores": round(cores, 3),
            "sender_cores": round((last.sender_cpu_s - first.sender_cpu_s) / span_s, 3),
            "added_first_token_ms_p99": added_p99_ms,
            "resident_mb": round(resident_mb, 1),
        }


def _raise_rate_limits(session: Session) -> None:
    name = "template/traveller"
    template = read_example_objects("imigongo")[name]
    limits = {"requests_per_second": HIGH_LIMIT, "concurrent_requests": HIGH_LIMIT}
    template["parameters"] |= limits
    session.fleet.publish({name: template}, author="measure", base=0)


async def _send_requests(session: Session, counts: _RequestCounts) -> tuple[_Sample, _Sample]:
    started_at = time.monotonic()
    end_at = started_at + WARM_UP_S + MEASUREMENT_S
    first: _Sample | None = None
    async with asyncio.TaskGroup() as group:
        number, send_at = 0, started_at
        while send_at < end_at:
            await asyncio.sleep(max(0.0, send_at - time.monotonic()))
            group.create_task(_send_chat(session, counts, number))
            number += 1
            send_at += session.rng.expovariate(REQUESTS_PER_S)
            if first is None and send_at > started_at + WARM_UP_S:
                first = _sample(session, counts)
        last = _sample(session, counts)
    assert first is not None
    return first, last


def _sample(session: Session, counts: _RequestCounts) -> _Sample:
    cpu_s = session.fleet.processes["router-1"].usage().cpu_s
    return _Sample(counts.completed, counts.events, cpu_s, time.process_time(), time.monotonic())


async def _send_chat(session: Session, counts: _RequestCounts, number: int) -> None:
    body = {
        "model": "chat",
        "messages": [{"role": "user", "content": f"question {number} " * 20}],
        "max_tokens": TOKENS_PER_REQUEST,
        "stream": True,
    }
    address = session.fleet.addresses["router-1"].http
    token = team_token(TEAMS[number % len(TEAMS)])
    request = encode_request(host=address, token=token, body=body)
    ip, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    transport, stream = await loop.create_connection(
        lambda: EventCounter(request=request), ip, int(port)
    )
    counts.open_streams.add(stream)
    try:
        await asyncio.wait_for(stream.closed, RESPONSE_TIMEOUT_S)
    except TimeoutError:
        counts.failures["timeout"] += 1
    finally:
        transport.close()
        counts.open_streams.discard(stream)
        counts.closed_events += stream.events
    if stream.failure:
        counts.failures[stream.failure] += 1
    else:
        counts.completed += 1
