"""Tests of the server order under skewed load, overload and failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.router.gateway.builders import make_state

from cornellead.gateway.policy import PlacementContext
from cornellead.gateway.policy import find_prompt_source
from cornellead.gateway.policy import order_by_cost
from cornellead.gateway.policy import order_for_chat
from cornellead.gateway.policy import rank_homes
from cornellead.gateway.policy import split_service

if TYPE_CHECKING:
    from cornellead.gateway.view import ServerState

NAMES = [f"s{number}" for number in range(6)]


def _servers(**loads: int) -> list[ServerState]:
    return [make_state(name, in_flight=loads.get(name, 0)) for name in NAMES]


def _loads(servers: list[ServerState]) -> dict[str, float]:
    return {state.entry.server: float(state.health.in_flight) for state in servers}


def test_all_routers_choose_the_same_home_server() -> None:
    """Guards against prompts that are processed once for each router."""
    servers = _servers()
    homes = {
        order_for_chat(PlacementContext("chat", order, _loads(order), 2.0, 0.0, 0.0))[
            0
        ].entry.server
        for order in (servers, servers[::-1], servers[3:] + servers[:3])
    }
    assert len(homes) == 1


def test_popular_chat_spills_over_at_the_load_bound() -> None:
    """Guards against a load far above the mean at the home server of a chat that gets most of the
    traffic."""
    counts = dict.fromkeys(NAMES, 6)
    home = rank_homes("chat", _servers())[0].entry.server
    for _ in range(60):
        servers = _servers(**counts)
        chosen = order_for_chat(PlacementContext("chat", servers, _loads(servers), 2.0, 0.0, 0.0))[
            0
        ].entry.server
        counts[chosen] += 1
    mean = sum(counts.values()) / len(counts)
    assert counts[home] > mean
    assert max(counts.values()) <= 2 * mean + 3


def test_requests_spill_over_gradually_below_the_limit() -> None:
    """Guards against all routers switching to the next server at once because they see the same
    loads, a fraction of a second old."""
    home = rank_homes("chat", _servers())[0].entry.server
    limit = 0.925 * 2.0 * 20 + 3
    for load, min_share, max_share in (
        (0.75 * limit, 1.0, 1.0),
        (0.9 * limit, 0.3, 0.7),
        (limit + 1, 0, 0),
    ):
        other_load = (20 * len(NAMES) - load) / (len(NAMES) - 1)
        loads = {name: load if name == home else other_load for name in NAMES}
        stayed = sum(
            order_for_chat(PlacementContext("chat", _servers(), loads, 2.0, step / 100, 0.0))[
                0
            ].entry.server
            == home
            for step in range(100)
        )
        assert min_share <= stayed / 100 <= max_share


def test_few_usable_servers_share_the_load() -> None:
    """Guards against a usable server above twice the mean load of all servers while a data centre
    is out of service and most servers are idle."""
    counts = dict.fromkeys(NAMES, 0)
    usable = set(NAMES[:3])
    for number in range(40):
        servers = _servers(**counts)
        allowed = [state for state in servers if state.entry.server in usable]
        chosen = order_for_chat(
            PlacementContext(f"chat{number}", allowed, _loads(servers), 2.0, 0.0, 0.0)
        )[0]
        counts[chosen.entry.server] += 1
    mean = sum(counts.values()) / len(counts)
    assert max(counts.values()) <= 2 * mean + 3


def test_unresponsive_server_is_tried_last() -> None:
    """Guards against chats that wait at a server which stopped responding."""
    servers = _servers()
    home = rank_homes("chat", servers)[0]
    home.health.start_request(1, now=0.0)
    order = order_for_chat(PlacementContext("chat", servers, _loads(servers), 2.0, 0.0, 5.0))
    assert order[-1] is home


def test_failing_server_is_avoided_unless_all_fail() -> None:
    """Guards against excluding every server when the whole service fails."""
    servers = _servers()
    for _ in range(10):
        servers[0].health.record_outcome(ok=False, now=0.0)
    order = order_by_cost(servers, _loads(servers), data_centre="dc-a", now=0.0)
    assert order[-1] is servers[0]
    for state in servers:
        for _ in range(10):
            state.health.record_outcome(ok=False, now=0.0)
    assert len(order_by_cost(servers, _loads(servers), data_centre="dc-a", now=0.0)) == 6


def test_slow_server_is_tried_last() -> None:
    """Guards against a third of the calls being late when one of three servers takes five times as
    long."""
    servers = [make_state(f"s{number}", slots=6) for number in range(3)]
    for state in servers:
        for _ in range(20):
            state.health.record_latency(0.225 if state is servers[0] else 0.045)
    assert order_by_cost(servers, _loads(servers), data_centre="dc-a", now=0.0)[-1] is servers[0]


def test_prompt_is_copied_from_server_that_has_it_cached() -> None:
    """Guards against processing the prompt again when a chat spills over to another server."""
    servers = _servers()
    ranked = rank_homes("chat", servers)
    now = 100.0
    assert find_prompt_source("chat", ranked[0], servers, [], now=now) is None
    assert find_prompt_source("chat", ranked[1], servers, [], now=now) is ranked[0]
    holders = [ranked[3].entry.server]
    assert find_prompt_source("chat", ranked[1], servers, holders, now=now) is ranked[3]
    assert find_prompt_source("chat", ranked[3], servers, holders, now=now) is None


def test_new_server_copies_prompt_from_previous_home() -> None:
    """Guards against processing the prompt of every chat again when a server is replaced."""
    servers = _servers()
    home, previous = rank_homes("chat", servers)[:2]
    home.listed_at = 95.0
    assert find_prompt_source("chat", home, servers, [], now=100.0) is previous


def test_service_is_split_by_weight() -> None:
    """Guards against a weighted service that gets all requests of its route, or none."""
    weights = [("a", 90.0), ("b", 10.0)]
    chosen = [split_service(weights, f"request{number}") for number in range(2000)]
    assert 0.07 < chosen.count("b") / len(chosen) < 0.13
    assert split_service([("a", 1.0), ("b", 0.0)], "x") == "a"
