"""Cost of at-most-once calls: appends and latency by concurrency, and memory per key.

Runs one agent's handler in this process against a log with fixed delays and a service that answers
at once. Run with ``python -m scripts.measurements.claims_cost``.
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
from cornellead_core.metrics import Latency
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
MEMORY_KEYS = 30_000

_SECONDS = flags.DEFINE_float("seconds", 5.0, "Duration of each load, in seconds.", lower_bound=0.1)
_LOG_MS = flags.DEFINE_float("log_ms", 3.0, "Time the log takes for an append or a read.")
_RATE = flags.DEFINE_float("appends_per_s", 300.0, "Appends that the log accepts a second.")
_CONCURRENCY = flags.DEFINE_multi_integer("concurrency", [1, 4, 16, 64, 256], "Calls at a time.")


class DelayedLog:
    """Log in memory that takes a fixed time for every request."""

    def __init__(self, *, delay_s: float, appends_per_s: float) -> None:
        self._delay_s = delay_s
        self._rate = appends_per_s
        self._tokens = appends_per_s
        self._filled_at = time.perf_counter()
        self.rejected = 0
        self._streams: dict[str, list[LogRecord]] = {}
        self.appends = 0
        self.records = 0
        self.reads = 0

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        """Append after the delay, or refuse above the rate."""
        await asyncio.sleep(self._delay_s)
        now_s = time.perf_counter()
        self._tokens = min(self._rate, self._tokens + (now_s - self._filled_at) * self._rate)
        self._filled_at = now_s
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
        """Read after the delay; never waits for records."""
        await asyncio.sleep(self._delay_s)
        self.reads += 1
        records = self._streams.setdefault(stream, [])
        found = records[from_offset : from_offset + limit]
        now = time.time_ns() // 1_000_000
        end = len(records)
        return Success(LogPage(found, from_offset + len(found), 0, end, RETENTION_S, now))


def _make_handler(log: DelayedLog) -> ServiceHandler:
    def answer(request: httpx.Request) -> httpx.Response:
        return httpx.Response(200, json={"booked": True})

    return ServiceHandler(
        settings=AgentSettings(
            process=ProcessSettings("b1", "r", "d", "", "", "", "0123456789abcdef"),
            server=ServerSettings("http://service", service="booking"),
        ),
        board=Blackboard(),
        log=log,
        client=httpx.AsyncClient(transport=httpx.MockTransport(answer)),
        incarnation=1,
    )


async def _call_repeatedly(
    handler: ServiceHandler, caller: int, until: float, latency: Latency
) -> int:
    calls = 0
    while time.perf_counter() < until:
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
        started = time.perf_counter()
        response = await handler.handle(request)
        if response.status != 200:
            raise RuntimeError(f"call failed with status {response.status}: {response.body!r}")
        latency.record(time.perf_counter() - started)
        calls += 1
    return calls


async def _measure_load(concurrency: int) -> str:
    log = DelayedLog(delay_s=_LOG_MS.value / 1000, appends_per_s=_RATE.value)
    handler = _make_handler(log)
    controllers = asyncio.create_task(run_controllers(handler.controllers()))
    latency = Latency()
    started, cpu = time.perf_counter(), time.process_time()
    calls = sum(
        await asyncio.gather(
            *(
                _call_repeatedly(handler, caller, started + _SECONDS.value, latency)
                for caller in range(concurrency)
            )
        )
    )
    elapsed, used = time.perf_counter() - started, time.process_time() - cpu
    controllers.cancel()
    return (
        f"{concurrency:>11} {calls / elapsed:>8.0f} {log.appends / elapsed:>9.0f}"
        f" {log.rejected / elapsed:>9.0f}"
        f" {log.appends / calls:>13.2f} {log.reads / calls:>11.2f}"
        f" {latency.quantile(0.5) * 1000:>7.1f} {latency.quantile(0.99) * 1000:>7.1f}"
        f" {used / calls * 1e6:>11.0f}"
    )


def _measure_memory() -> str:
    ledger = Ledger(validity_s=3600.0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(MEMORY_KEYS):
        key = number.to_bytes(16, "big")
        call = f"0123456789abcdef.{number}"
        claim = ClaimRecord(epoch=0, key=key, request=key, call=call)
        ledger.apply(claim, offset=2 * number, time_ms=number)
        done = DoneRecord(key=key, request=key, call=call, status=200)
        ledger.apply(done, offset=2 * number + 1, time_ms=number)
    done_bytes = tracemalloc.get_traced_memory()[0] - before
    opened = Ledger(validity_s=3600.0)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(MEMORY_KEYS):
        claim = ClaimRecord(
            epoch=0,
            key=number.to_bytes(16, "big"),
            request=number.to_bytes(16, "little"),
            call=f"0123456789abcdef.{number}",
        )
        opened.apply(claim, offset=number, time_ms=number)
    open_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return (
        f"{MEMORY_KEYS} keys in one ledger: {done_bytes / MEMORY_KEYS:.0f} bytes for a done key,"
        f" {open_bytes / MEMORY_KEYS:.0f} bytes for an open key"
    )


def main(argv: list[str]) -> None:
    """Print the measurements."""
    del argv
    # absl raises the root level, and the client then logs every request.
    logging.getLogger("httpx").setLevel(logging.WARNING)
    print(f"log takes {_LOG_MS.value:g} ms for each append and each read; one core, one agent")
    print(f"log accepts {_RATE.value:g} appends/s after an initial burst of as many")
    print(
        "concurrency  calls/s appends/s rejects/s appends/call  reads/call"
        "  p50 ms  p99 ms cpu us/call"
    )
    for concurrency in _CONCURRENCY.value:
        print(asyncio.run(_measure_load(concurrency)), flush=True)
    print(_measure_memory())


if __name__ == "__main__":
    app.run(main, argv=sys.argv)
