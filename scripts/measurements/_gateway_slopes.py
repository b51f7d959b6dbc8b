"""Growth of a gateway's control traffic and placement time with the size of the fleet."""

from __future__ import annotations

import tracemalloc
from hashlib import sha256
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cornellead.gateway.ingress import encode_head
from cornellead.gateway.policy import PlacementContext
from cornellead.gateway.policy import order_for_chat
from cornellead.gateway.relay import ChangeLog
from cornellead.gateway.relay import RelayPage
from cornellead.gateway.relay import decode_page
from cornellead.gateway.relay import encode_page
from cornellead.gateway.relay._relay_handler import ERA_HEADER
from cornellead.gateway.view import FleetView
from cornellead.gateway.view import RouterLoad
from cornellead.upstream import encode_request_head
from cornellead_core.routing import CallerLimits
from cornellead_core.routing import Position
from cornellead_core.routing import RequestKind
from cornellead_core.routing import Route
from cornellead_core.routing import RoutingConfig
from cornellead_core.routing import RoutingData
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import ServerEntry
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import Service
from cornellead_core.routing import Team
from cornellead_core.routing import TeamKeys
from cornellead_core.routing import WeightedService
from scripts.measurements._slopes import measure_slope
from scripts.measurements._slopes import time_us

if TYPE_CHECKING:
    from cornellead.gateway.view import ServerState

SERVER_COUNTS = [10, 100, 1000]
BUSY_SERVER_COUNTS = [1, 10, 40]
"""Servers with requests of one router: 11 requests per second of 2 s each are 22 in flight."""
TEAM_COUNTS = [10, 90, 270]
"""Teams in one configuration, each with its own key and route."""
ROUTE_COUNTS = [250, 500, 1000, 2000, 4000]
"""Routes in one configuration without teams."""
READER_ADDRESS = "10.0.0.1:7100"


async def measure_gateway_slopes() -> dict[str, Any]:
    """Measure the bytes of notices and load reports, and the time of a placement decision."""
    return {
        "met": True,
        "whole_list_bytes": measure_slope(SERVER_COUNTS, _server_list_bytes),
        "change_bytes": measure_slope([1, 10, 100], _changes_bytes),
        "question_without_changes_bytes": _idle_poll_bytes(),
        "configuration_bytes": measure_slope(TEAM_COUNTS, _configuration_bytes),
        "configuration_bytes_by_routes": measure_slope(ROUTE_COUNTS, _routes_bytes),
        "configuration_encode_us_by_routes": measure_slope(ROUTE_COUNTS, _encode_us),
        "configuration_decode_us_by_routes": measure_slope(ROUTE_COUNTS, _decode_us),
        "configuration_activate_us_by_routes": measure_slope(ROUTE_COUNTS, _activate_us),
        "configuration_memory_bytes_by_routes": measure_slope(ROUTE_COUNTS, _memory_bytes),
        "load_report_bytes": measure_slope(BUSY_SERVER_COUNTS, _load_report_bytes),
        "choice_us_per_request": measure_slope(SERVER_COUNTS, _placement_us),
    }


def _server_entry(number: int) -> ServerEntry:
    return ServerEntry(
        server=f"i-{number:010x}",
        service="assistant",
        address=f"10.{number // 250}.0.{number % 250}:8000",
        data_centre=f"dc-{number % 14:02}",
        slots=64,
        draining=False,
        cold_s=0.0,
        started_ms=1_790_000_000_000 + number,
    )


def _server_notices(count: int) -> list[ServerNotice]:
    return [
        ServerNotice(_server_entry(n).server, _server_entry(n), removed=False) for n in range(count)
    ]


def _change_log(count: int) -> ChangeLog:
    log = ChangeLog()
    log.replace(_server_notices(count), Position(count), now=0.0)
    return log


def _server_list_bytes(count: int) -> float:
    page = _change_log(count).read(None, now=0.1)
    assert page is not None
    return float(len(encode_page(page)))


def _changes_bytes(count: int) -> float:
    log = _change_log(0)
    log.add(_server_notices(count), Position(count), now=0.0)
    page = log.read(Position(0), now=0.1)
    assert page is not None
    return float(len(encode_page(page)))


def _configuration_bytes(count: int) -> float:
    teams = tuple(
        TeamKeys(
            Team(f"team-{number:03}", number % 10),
            (sha256(bytes([number % 256, number // 256])).hexdigest()[:20],),
        )
        for number in range(count)
    )
    return float(len(encode_page(_config_page(_routing_data(count, teams=teams)))))


def _routes_bytes(count: int) -> float:
    return float(len(encode_page(_config_page(_routing_data(count)))))


def _encode_us(count: int) -> float:
    page = _config_page(_routing_data(count))
    return time_us(lambda: encode_page(page))


def _decode_us(count: int) -> float:
    encoded = encode_page(_config_page(_routing_data(count)))
    return time_us(lambda: decode_page(encoded))


def _activate_us(count: int) -> float:
    data = _routing_data(count)
    return time_us(lambda: RoutingConfig(data=data))


def _memory_bytes(count: int) -> float:
    encoded = encode_page(_config_page(_routing_data(count)))
    tracemalloc.start()
    page = decode_page(encoded)
    assert page is not None and isinstance(page.notices[0], RoutingNotice)
    assert page.notices[0].data is not None
    config = RoutingConfig(data=page.notices[0].data)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del config
    return float(size)


def _routing_data(route_count: int, *, teams: tuple[TeamKeys, ...] = ()) -> RoutingData:
    return RoutingData(
        version=1,
        routes=tuple(_route(number) for number in range(route_count)),
        services=(Service("assistant", 370, 3.0, 11.0, 64, 528_867),),
        limits=CallerLimits(16_384, 4_194_304, 3.0, 15.0),
        teams=teams,
        keys_required=True,
    )


def _config_page(data: RoutingData) -> RelayPage:
    log = _change_log(0)
    log.add([RoutingNotice(data, "")], Position(1), now=0.0)
    page = log.read(Position(0), now=0.1)
    assert page is not None
    return page


def _route(number: int) -> Route:
    return Route(
        name=f"route-{number:03}",
        host=f"host-{number:03}.example",
        path_prefix=f"/team-{number:03}/",
        kind=RequestKind.STREAMING,
        timeout_s=15.0,
        target_latency_s=0.8,
        priority=1,
        services=(WeightedService("assistant", 1.0),),
        max_attempts=2,
        public=False,
        resumable=True,
        target_gap_s=0.5,
    )


def _idle_poll_bytes() -> int:
    """Return the bytes of a poll for notices and its response when nothing changed."""
    page = _change_log(1000).read(Position(1000), now=0.1)
    assert page is not None
    body = encode_page(page)
    request = encode_request_head(
        READER_ADDRESS, "GET", "/notices/servers?reader=1&after=123456&era=2&wait=0.40", 0
    )
    headers = ((ERA_HEADER.encode(), b"2"),)
    return len(request) + len(encode_head(200, headers, length=len(body), close=False)) + len(body)


def _load_report_bytes(count: int) -> float:
    counts = {hash(f"i-{number:010x}") & 0xFFFFFFFF: 1 for number in range(count)}
    return float(len(msgspec.msgpack.encode(RouterLoad("front-dc-01-17", counts))))


def _placement_us(count: int) -> float:
    view = FleetView(router="r1")
    for number in range(count):
        view.servers.put(_server_entry(number), now=0.0)
    servers = view.servers.usable("assistant")

    def choose() -> list[ServerState]:
        loads = {s.entry.server: s.load(view.load, routers=330, now=1.0) for s in servers}
        return order_for_chat(PlacementContext("chat", servers, loads, 2.0, 0.5, 1.0))

    return time_us(choose)
