"""Growth of memory, message sizes and processor time with the size of the fleet.

Each cost is measured at three or more sizes; its slope is that of the least squares line. The
capacity page in the documentation multiplies the slopes by the target size.
"""

from __future__ import annotations

import time
import tracemalloc
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from cornellead.fleet import EngineDirectory
from cornellead_agent.chats import ChatIndex
from cornellead_core.auth import FleetKey
from cornellead_core.blackboard import Blackboard
from cornellead_core.distribution import HostView
from cornellead_core.facts import HOSTS
from cornellead_core.load import DcSummary
from cornellead_core.load import Digest
from cornellead_core.load import LoadTable
from cornellead_core.load import encode_digest
from cornellead_core.placement import order_by_rendezvous
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.wire import HostDigest
from cornellead_core.wire import ShareRequest
from cornellead_core.wire import TeamDemand
from cornellead_core.wire import encode_message

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

KEY = FleetKey(secret=b"0123456789abcdef")
MIN_TIMING_S = 0.2
"""Minimum processor time over which the cost of a call is averaged."""


class Slope(NamedTuple):
    """Cost per unit of size, and the cost at size 0."""

    per_unit: float
    fixed: float


def fit_line(sizes: Sequence[float], costs: Sequence[float]) -> Slope:
    """Return the least squares line through measured costs.

    >>> fit_line([1.0, 2.0, 3.0], [3.0, 5.0, 7.0])
    Slope(per_unit=2.0, fixed=1.0)
    """
    mean_size = sum(sizes) / len(sizes)
    mean_cost = sum(costs) / len(costs)
    variance = sum((size - mean_size) ** 2 for size in sizes)
    covariance = sum((s - mean_size) * (c - mean_cost) for s, c in zip(sizes, costs, strict=True))
    per_unit = covariance / variance
    return Slope(per_unit, mean_cost - per_unit * mean_size)


async def measure_slopes() -> dict[str, Any]:
    """Measure all slopes; there is no target, so ``met`` is always true."""
    return {
        "met": True,
        "host_list_bytes_of_memory": measure_slope([100, 400, 1330], _host_view_memory),
        "host_list_bytes_on_the_wire": measure_slope([100, 400, 1330], _host_list_wire_bytes),
        "chat_index_bytes_of_memory": measure_slope([1000, 5000, 20_000], _chat_index_memory),
        "placement_us_per_request": measure_slope([10, 100, 250, 1000], _placement_us),
        "estimate_us_per_admission": measure_slope([3, 14, 70], _estimate_us),
        "digest_header_bytes": measure_slope([3, 14, 70], _digest_bytes),
        "demand_bytes": measure_slope([10, 90, 270], _demand_bytes),
        "sign_and_encode_us": round(time_us(lambda: encode_message(HostDigest(1, 2, 3), key=KEY))),
    }


def measure_slope(sizes: Sequence[int], cost: Callable[[int], float]) -> dict[str, Any]:
    """Return the least squares line through a cost at several sizes, with the measured values."""
    costs = [cost(size) for size in sizes]
    line = fit_line(sizes, costs)
    measured = dict(zip(map(str, sizes), (round(value, 2) for value in costs), strict=True))
    return {
        "per_unit": round(line.per_unit, 4),
        "fixed": round(line.fixed, 2),
        "measured": measured,
    }


def time_us(call: Callable[[], object]) -> float:
    """Return the mean processor time of a call in microseconds."""
    calls, started_at = 0, time.process_time()
    while time.process_time() - started_at < MIN_TIMING_S:
        call()
        calls += 1
    return (time.process_time() - started_at) / calls * 1e6


def _measure_memory(build: Callable[[], object]) -> float:
    tracemalloc.start()
    built = build()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(used)


def _hosts(count: int) -> list[HostEntry]:
    return [
        HostEntry(
            name=f"engine-{n:04}",
            kind=HostKind.AGENT,
            region=f"region-{n % 5}",
            dc=f"dc-{n % 14:02}",
            http=f"10.0.{n // 250}.{n % 250}:8000",
            control=f"10.0.{n // 250}.{n % 250}:8001",
            models=(f"model-{n % 4}",),
            capacity=16.0,
        )
        for n in range(count)
    ]


def _host_view_memory(count: int) -> float:
    def build() -> HostView:
        view = HostView()
        view.apply_fetched_list(_hosts(count), now=0.0)
        return view

    return _measure_memory(build)


def _host_list_wire_bytes(count: int) -> float:
    return float(len(msgspec.msgpack.encode(_hosts(count))))


def _chat_index_memory(count: int) -> float:
    def build() -> ChatIndex:
        index = ChatIndex()
        for chat in range(count):
            index.touch(chat << 40, now=float(chat))
        return index

    return _measure_memory(build)


def _placement_us(count: int) -> float:
    hosts = _hosts(count * 4)

    board = Blackboard()
    board.write(HOSTS, tuple(hosts))
    directory = EngineDirectory(board=board)
    return time_us(
        lambda: order_by_rendezvous(b"model-1\x00chat", directory.find("model-1").weighted)
    )


def _summaries(count: int) -> list[DcSummary]:
    return [DcSummary(f"dc-{n:02}", -1, 100 + n, 150, 40, 64.0, 4) for n in range(count)]


def _estimate_us(count: int) -> float:
    table = LoadTable()
    table.merge(Digest(_summaries(count)), now=0.0)
    return time_us(lambda: table.estimate(now=0.1))


def _digest_bytes(count: int) -> float:
    return float(len(encode_digest(Digest(_summaries(count)))))


def _demand_bytes(count: int) -> float:
    teams = [TeamDemand(f"team-{n:03}", 4.5, 12) for n in range(count)]
    return float(len(encode_message(ShareRequest("router-001", teams), key=KEY)))
