"""Servers that prompts avoid because of pending prefill or full memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.router.gateway.builders import make_state

from cornellead.gateway.policy import PlacementContext
from cornellead.gateway.policy import PromptPlacement
from cornellead.gateway.policy import PromptRequest
from cornellead.gateway.policy import order_for_chat
from cornellead.gateway.policy import rank_homes
from cornellead.gateway.view import PrefillSample
from cornellead.gateway.view import PromptLoad

if TYPE_CHECKING:
    from cornellead.gateway.view import ServerState

SHORT = PromptRequest("llm", 829, 130, 0, 0.319, 597_526, 1)
LONG = PromptRequest("llm", 11_812, 11_812, 11_812, 0.645, 597_526, 1)


def _servers() -> list[ServerState]:
    return [make_state(f"s{number}") for number in range(4)]


def _placement(*, learned: bool = True) -> PromptPlacement:
    placement = PromptPlacement()
    placement.record_request(LONG)
    placement.record_request(SHORT)
    for _ in range(20 if learned else 0):
        placement.rates.record("llm", PrefillSample(0, 10_100, 0.1), factor=1.0)
    return placement


def _late(placement: PromptPlacement, req: PromptRequest, servers: list[ServerState]) -> set[str]:
    loads = {state.entry.server: 1.0 for state in servers}
    return set(placement.find_late(req, servers, loads, now=0.0))


def test_short_prompt_avoids_a_server_with_much_pending_prefill() -> None:
    """Guards against short prompts that wait for the prefill of long ones until they are late."""
    servers = _servers()
    for number in range(3):
        servers[0].prompts.start(number, PromptLoad(11_812, 11_812), now=0.0)
    assert _late(_placement(), SHORT, servers) == {"s0"}
    for number in range(3):
        servers[0].prompts.end_prefill(number, now=0.0)
    assert _late(_placement(), SHORT, servers) == set()


def test_prompt_with_a_long_shared_part_stays_at_its_home() -> None:
    """Guards against repeated prefill of long shared parts, which delays all requests."""
    servers = _servers()
    for number in range(3):
        servers[0].prompts.start(number, PromptLoad(11_812, 11_812), now=0.0)
    returning = SHORT._replace(tokens=10_642, shared_tokens=10_512)
    assert _late(_placement(), returning, servers) == set()


def test_long_prompts_are_spread() -> None:
    """Guards against more prefill at a server than its short requests tolerate."""
    servers = _servers()
    for number in range(2):
        servers[1].prompts.start(number, PromptLoad(11_812, 11_812), now=0.0)
    assert _late(_placement(), LONG, servers) == {"s1"}
    assert _late(_placement(), SHORT, servers) == set()


def test_light_prefill_and_unknown_rate_change_nothing() -> None:
    """Guards against chats that leave their caches on a fleet whose prefill is light, and against
    a decision by a rate that was never measured."""
    servers = _servers()
    servers[0].prompts.start(1, PromptLoad(11_812, 1_300), now=0.0)
    assert _late(_placement(), LONG, servers) == set()
    servers[0].prompts.start(2, PromptLoad(90_000, 90_000), now=0.0)
    assert _late(_placement(learned=False), SHORT, servers) == set()


def test_busy_server_is_not_avoided_because_of_prefill() -> None:
    """Guards against chats that leave their caches in an overload, when requests wait for slots."""
    servers = _servers()
    servers[0].prompts.start(1, PromptLoad(90_000, 90_000), now=0.0)
    loads = {state.entry.server: 40.0 for state in servers}
    assert not _placement().find_late(SHORT, servers, loads, now=0.0)


def test_report_of_another_router_fades() -> None:
    """Guards against servers that are avoided because of prefill which has ended meanwhile."""
    state = make_state()
    state.prompts.record_report("r2", 30_000, now=0.0)
    assert state.prompts.pending_tokens(tokens_per_s=100_000.0, now=0.1) == 20_000
    assert state.prompts.pending_tokens(tokens_per_s=100_000.0, now=0.5) == 0


def test_prompt_avoids_a_server_without_memory_for_it() -> None:
    """Guards against preemptions while other servers have room; a prompt that fits nowhere is left
    to the servers."""
    servers, placement = _servers(), _placement()
    for number in range(50):
        servers[2].prompts.start(number, PromptLoad(11_812), now=0.0)
    loads = {state.entry.server: float(state.prompts.requests) for state in servers}
    assert placement.find_full(LONG, servers, loads) == {"s2"}
    assert not placement.find_full(LONG._replace(tokens=700_000), servers, loads)


def test_avoided_home_comes_after_others_but_before_those_above_the_bound() -> None:
    """Guards against a load bound that is broken to avoid pending prefill."""
    servers = _servers()
    home, second = rank_homes("chat", servers)[:2]
    loads = {state.entry.server: 2.0 for state in servers}
    avoided = frozenset({home.entry.server})
    order = order_for_chat(PlacementContext("chat", servers, loads, 2.0, 0.0, 0.0, {}, avoided))
    assert order[0] is second and order[-1] is home
    loads = {state.entry.server: 2.0 if state is home else 60.0 for state in servers}
    loads[second.entry.server] = 500.0
    order = order_for_chat(PlacementContext("chat", servers, loads, 2.0, 0.0, 0.0, {}, avoided))
    assert order[-1] is second
