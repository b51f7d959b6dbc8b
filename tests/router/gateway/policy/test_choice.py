"""Placing under skewed, surging and failing loads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.router.gateway.builders import make_state

from cornellead.gateway.policy import ChatPlacement
from cornellead.gateway.policy import find_prompt_source
from cornellead.gateway.policy import order_by_cost
from cornellead.gateway.policy import order_for_chat
from cornellead.gateway.policy import rank_homes
from cornellead.gateway.policy import split_service

if TYPE_CHECKING:
    from cornellead.gateway.beliefs import ServerState

NAMES = [f"s{number}" for number in range(6)]


def _servers(**loads: int) -> list[ServerState]:
    return [make_state(name, in_flight=loads.get(name, 0)) for name in NAMES]


def _loads(servers: list[ServerState]) -> dict[str, float]:
    return {state.entry.server: float(state.health.in_flight) for state in servers}


def test_all_routers_name_the_same_home() -> None:
    """Guards against prompts that are read once for each router."""
    servers = _servers()
    homes = {
        order_for_chat(ChatPlacement("chat", order, _loads(order), 2.0, 0.0, 0.0))[0].entry.server
        for order in (servers, servers[::-1], servers[3:] + servers[:3])
    }
    assert len(homes) == 1


def test_popular_chat_spills_over_the_bound() -> None:
    """Load: one chat gets most of the traffic. Guards against a server far above the mean."""
    counts = dict.fromkeys(NAMES, 6)
    home = rank_homes("chat", _servers())[0].entry.server
    for _ in range(60):
        servers = _servers(**counts)
        chosen = order_for_chat(ChatPlacement("chat", servers, _loads(servers), 2.0, 0.0, 0.0))[
            0
        ].entry.server
        counts[chosen] += 1
    mean = sum(counts.values()) / len(counts)
    assert counts[home] > mean
    assert max(counts.values()) <= 2 * mean + 3


def test_requests_begin_to_move_before_the_limit() -> None:
    """Guards against routers that all turn to the next server at once, since they see the same
    loads a fraction of a second old."""
    home = rank_homes("chat", _servers())[0].entry.server
    limit = 0.925 * 2.0 * 20 + 3
    for load, least, most in (
        (0.75 * limit, 1.0, 1.0),
        (0.9 * limit, 0.3, 0.7),
        (limit + 1, 0, 0),
    ):
        others = (20 * len(NAMES) - load) / (len(NAMES) - 1)
        loads = {name: load if name == home else others for name in NAMES}
        stays = sum(
            order_for_chat(ChatPlacement("chat", _servers(), loads, 2.0, step / 100, 0.0))[
                0
            ].entry.server
            == home
            for step in range(100)
        )
        assert least <= stays / 100 <= most


def test_few_usable_servers_share_the_load_evenly() -> None:
    """Load: a data centre is out, so most servers of the service are idle. Guards against one of
    the others at twice the mean over all of them."""
    counts = dict.fromkeys(NAMES, 0)
    usable = set(NAMES[:3])
    for number in range(40):
        servers = _servers(**counts)
        allowed = [state for state in servers if state.entry.server in usable]
        chosen = order_for_chat(
            ChatPlacement(f"chat{number}", allowed, _loads(servers), 2.0, 0.0, 0.0)
        )[0]
        counts[chosen.entry.server] += 1
    mean = sum(counts.values()) / len(counts)
    assert max(counts.values()) <= 2 * mean + 3


def test_silent_server_is_asked_last() -> None:
    """Guards against chats that wait at a server which went dark."""
    servers = _servers()
    home = rank_homes("chat", servers)[0]
    home.health.open(1, now=0.0)
    order = order_for_chat(ChatPlacement("chat", servers, _loads(servers), 2.0, 0.0, 5.0))
    assert order[-1] is home


def test_failing_server_is_avoided_unless_all_fail() -> None:
    """Guards against an outage of a whole service that ejects every server."""
    servers = _servers()
    for _ in range(10):
        servers[0].health.count_outcome(ok=False, now=0.0)
    order = order_by_cost(servers, _loads(servers), data_centre="dc-a", now=0.0)
    assert order[-1] is servers[0]
    for state in servers:
        for _ in range(10):
            state.health.count_outcome(ok=False, now=0.0)
    assert len(order_by_cost(servers, _loads(servers), data_centre="dc-a", now=0.0)) == 6


def test_slow_server_gets_less_than_its_share() -> None:
    """Load: one of three servers works five times as long. Guards against a third of the calls
    being late."""
    servers = [make_state(f"s{number}", slots=6) for number in range(3)]
    for state in servers:
        for _ in range(20):
            state.health.count_latency(0.225 if state is servers[0] else 0.045)
    assert order_by_cost(servers, _loads(servers), data_centre="dc-a", now=0.0)[-1] is servers[0]


def test_prompt_is_copied_from_the_server_that_read_it() -> None:
    """Load: a chat spills over. Guards against its prompt being read again."""
    servers = _servers()
    ranked = rank_homes("chat", servers)
    now = 100.0
    assert find_prompt_source("chat", ranked[0], servers, [], now=now) is None
    assert find_prompt_source("chat", ranked[1], servers, [], now=now) is ranked[0]
    kept = [ranked[3].entry.server]
    assert find_prompt_source("chat", ranked[1], servers, kept, now=now) is ranked[3]
    assert find_prompt_source("chat", ranked[3], servers, kept, now=now) is None


def test_joined_server_copies_from_the_earlier_home() -> None:
    """Load: a server is replaced. Guards against every chat of it being read anew."""
    servers = _servers()
    home, earlier = rank_homes("chat", servers)[:2]
    home.listed_at = 95.0
    assert find_prompt_source("chat", home, servers, [], now=100.0) is earlier


def test_service_is_split_by_weight() -> None:
    """Guards against a share of a route that gets all or nothing."""
    weights = [("a", 90.0), ("b", 10.0)]
    chosen = [split_service(weights, f"request{number}") for number in range(2000)]
    assert 0.07 < chosen.count("b") / len(chosen) < 0.13
    assert split_service([("a", 1.0), ("b", 0.0)], "x") == "a"
