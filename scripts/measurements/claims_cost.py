"""Cost of at-most-once calls: log requests and latency by concurrency, and memory per key.

Runs the request handler of one agent in this process, with a log that has a fixed latency and a
service that responds immediately: ``python -m scripts.measurements.claims_cost``.
"""

from __future__ import annotations

import asyncio
import logging
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING
from typing import Any

import httpx
from absl import app
from absl import flags
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_agent.services import ServiceHandler
from cornellead_agent.services import ServiceRequest
from cornellead_core.blackboard import Blackboard
from cornellead_core.blackboard import run_controllers
from cornellead_core.claims import ClaimRecord
from cornellead_core.claims import DoneRecord
from cornellead_core.claims import Ledger
from cornellead_core.metrics import LatencyHistogram
from cornellead_core.platform import AppendError
from cornellead_core.platform import LogPage
from cornellead_core.platform import LogRecord
from cornellead_core.platform import PlatformError
from cornellead_core.settings import AgentSettings
from cornellead_core.settings import ProcessSettings
from cornellead_core.settings import ServerSettings

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

RETENTION_S = 86_400.0
KEY_COUNT = 30_000

_DURATION_S = flags.DEFINE_float(
    "seconds", 5.0, "Duration of each load, in seconds.", lower_bound=0.1
)
_LOG_LATENCY_MS = flags.DEFINE_float(
    "log_ms", 3.0, "Latency of each append to and read from the log, in milliseconds."
)
_APPENDS_PER_S = flags.DEFINE_float(
    "appends_per_s", 300.0, "Appends that the log accepts per second."
)
_CONCURRENCY = flags.DEFINE_multi_integer(
    "concurrency", [1, 4, 16, 64, 256], "Number of concurrent calls; repeat for several loads."
)


class DelayedLog:
    """In-memory log with a fixed latency and a token bucket that limits appends."""

    def __init__(self, *, delay_s: float, appends_per_s: float) -> None:
        self._delay_s = delay_s
        self._appends_per_s = appends_per_s
        self._tokens = appends_per_s
        self._refilled_at = time.perf_counter()
        self.rejected = 0
        self._streams: dict[str, list[LogRecord]] = {}
        self.appends = 0
        self.records = 0
        self.reads = 0

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        """Append after the delay; rejects appends above the rate."""
        await asyncio.sleep(self._delay_s)
        now_s = time.perf_counter()
        self._tokens = min(
            self._appends_per_s, self._tokens + (now_s - self._refilled_at) * self._appends_per_s
        )
        self._refilled_at = now_s
        if self._tokens < 1.0:
            self.rejected += 1
            return Failure(AppendError.REJECTED)
        self._tokens -= 1.0
        records = self._streams.setdefault(stream, [])
        first, now = len(records), time.time_ns() // 1_000_000
        records += [LogRecord(first + i, now, dict(value)) for i, value in enumerate(values)]
        self.appends += 1
        self.records += len(values)
        return Success(first)

    async def read(
        self, stream: str, *, from_offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, PlatformError]:
        """Read after the delay; ``wait_s`` is ignored."""
        await asyncio.sleep(self._delay_s)
        self.reads += 1
        records = self._streams.setdefault(stream, [])
        found = records[from_offset : from_offset + limit]
        now = time.time_ns() // 1_000_000
        end = len(records)
        return Success(LogPage(found, from_offset + len(found), 0, end, RETENTION_S, now))


def _build_handler(log: DelayedLog) -> ServiceHandler:
    def respond(request: httpx.Request) -> httpx.Response:
        return httpx.Response(200, json={"booked": True})

    return ServiceHandler(
        settings=AgentSettings(
            process=ProcessSettings("b1", "r", "d", "", "", "", "0123456789abcdef"),
            server=ServerSettings("http://service", service="booking"),
        ),
        board=Blackboard(),
        log=log,
        client=httpx.AsyncClient(transport=httpx.MockTransport(respond)),
        incarnation=1,
    )


async def _call_repeatedly(
    handler: ServiceHandler, caller: int, stop_at: float, latency: LatencyHistogram
) -> int:
    calls = 0
    while time.perf_counter() < stop_at:
        request = ServiceRequest(
            operation="book",
            team="shop",
            key=f"order-{caller}-{calls}",
            key_time_s=time.time(),
            body=b'{"seat": 1}',
            content_type="application/json",
            deadline_s=10.0,
            request_id=f"{caller:08x}{calls:024x}",
            at_most_once=True,
        )
        started_at = time.perf_counter()
        response = await handler.handle(request)
        if response.status != 200:
            raise RuntimeError(f"call failed with status {response.status}: {response.body!r}")
        latency.record(time.perf_counter() - started_at)
        calls += 1
    return calls


async def _measure_load(concurrency: int) -> str:
    log = DelayedLog(delay_s=_LOG_LATENCY_MS.value / 1000, appends_per_s=_APPENDS_PER_S.value)
    handler = _build_handler(log)
    controllers = asyncio.create_task(run_controllers(handler.controllers()))
    latency = LatencyHistogram()
    started_at, cpu_started_s = time.perf_counter(), time.process_time()
    calls = sum(
        await asyncio.gather(
            *(
                _call_repeatedly(handler, caller, started_at + _DURATION_S.value, latency)
                for caller in range(concurrency)
            )
        )
    )
    elapsed, cpu_s = time.perf_counter() - started_at, time.process_time() - cpu_started_s
    controllers.cancel()
    return (
        f"{concurrency:>11} {calls / elapsed:>8.0f} {log.appends / elapsed:>9.0f}"
        f" {log.rejected / elapsed:>9.0f}"
        f" {log.appends / calls:>13.2f} {log.reads / calls:>11.2f}"
        f" {latency.quantile(0.5) * 1000:>7.1f} {latency.quantile(0.99) * 1000:>7.1f}"
        f" {cpu_s / calls * 1e6:>11.0f}"
    )


def _measure_memory() -> str:
    ledger = Ledger(validity_s=3600.0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(KEY_COUNT):
        key = number.to_bytes(16, "big")
        call = f"0123456789abcdef.{number}"
        claim = ClaimRecord(epoch=0, key=key, request=key, call=call)
        ledger.apply(claim, offset=2 * number, time_ms=number)
        done = DoneRecord(key=key, request=key, call=call, status=200)
        ledger.apply(done, offset=2 * number + 1, time_ms=number)
    done_bytes = tracemalloc.get_traced_memory()[0] - before
    open_ledger = Ledger(validity_s=3600.0)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(KEY_COUNT):
        claim = ClaimRecord(
            epoch=0,
            key=number.to_bytes(16, "big"),
            request=number.to_bytes(16, "little"),
            call=f"0123456789abcdef.{number}",
        )
        open_ledger.apply(claim, offset=number, time_ms=number)
    open_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return (
        f"{KEY_COUNT} keys in one ledger: {done_bytes / KEY_COUNT:.0f} bytes for a done key,"
        f" {open_bytes / KEY_COUNT:.0f} bytes for an open key"
    )


def main(argv: list[str]) -> None:
    """Print a table of the loads and the memory per key."""
    del argv
    # absl sets the root logger to INFO, at which httpx logs every request.
    logging.getLogger("httpx").setLevel(logging.WARNING)
    print(f"log latency {_LOG_LATENCY_MS.value:g} ms per append and read; one core, one agent")
    print(f"log accepts {_APPENDS_PER_S.value:g} appends/s after an initial burst of as many")
    print(
        "concurrency  calls/s appends/s rejects/s appends/call  reads/call"
        "  p50 ms  p99 ms cpu us/call"
    )
    for concurrency in _CONCURRENCY.value:
        print(asyncio.run(_measure_load(concurrency)), flush=True)
    print(_measure_memory())


if __name__ == "__main__":
    app.run(main, argv=sys.argv)
