"""Order of servers that report how long work takes on them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_state

from cornellead.gateway.policy import PlacementContext
from cornellead.gateway.policy import order_by_cost
from cornellead.gateway.policy import order_for_chat
from cornellead.gateway.policy import rank_homes
from cornellead.gateway.policy import work_weights
from cornellead_core.routing import ReportedLoad

if TYPE_CHECKING:
    from cornellead.gateway.view import ServerState

CHATS = [f"chat{number}" for number in range(2000)]


def _servers(*factors: float) -> list[ServerState]:
    servers = [make_state(f"s{number}") for number in range(len(factors))]
    for state, factor in zip(servers, factors, strict=True):
        state.record_reported_load(ReportedLoad(0, 0, 64, factor), now=0.0)
    return servers


def _homes(servers: list[ServerState]) -> dict[str, str]:
    loads = {state.entry.server: 0.0 for state in servers}
    weights = work_weights(servers)
    return {
        chat: order_for_chat(PlacementContext(chat, servers, loads, 2.0, 0.0, 0.0, weights))[
            0
        ].entry.server
        for chat in CHATS
    }


@pytest.mark.parametrize(("factor", "share"), [(2.2, 0.45), (2.5, 0.4)])
def test_slow_server_is_the_home_of_fewer_chats(factor: float, share: float) -> None:
    """Guards against a slow server that is treated as equal to its neighbours."""
    usual = Counter(_homes(_servers(*[1.0] * 12)).values())
    slow = Counter(_homes(_servers(*[1.0] * 11, factor)).values())
    assert slow["s11"] / usual["s11"] == pytest.approx(share, abs=0.1)


def test_only_chats_of_the_slow_server_move() -> None:
    """Guards against caches that are lost at all servers when one becomes slow."""
    usual, slow = _homes(_servers(*[1.0] * 6)), _homes(_servers(2.5, *[1.0] * 5))
    assert {usual[chat] for chat in CHATS if usual[chat] != slow[chat]} == {"s0"}


@pytest.mark.parametrize("factors", [[2.5] * 6, [1.3, 1.0, 1.0, 1.3, 1.0, 1.0], [1.0] * 6])
def test_small_or_common_differences_move_no_chat(factors: list[float]) -> None:
    """Guards against chats that leave their caches without need."""
    servers = _servers(*factors)
    assert work_weights(servers) == {}
    ranked = {chat: rank_homes(chat, servers)[0].entry.server for chat in CHATS}
    assert _homes(servers) == ranked


def test_call_goes_to_the_server_that_is_faster_now() -> None:
    """Guards against calls to a server that became slow since its latency was measured."""
    servers = _servers(1.0, 1.0)
    loads = {state.entry.server: 0.0 for state in servers}
    for state in servers:
        state.health.record_latency(0.040 if state is servers[0] else 0.045)
    assert order_by_cost(servers, loads, data_centre="dc-a", now=0.0)[0] is servers[0]
    servers[0].record_reported_load(ReportedLoad(0, 0, 64, 2.5), now=0.5)
    assert order_by_cost(servers, loads, data_centre="dc-a", now=0.5)[0] is servers[1]
