"""Tests of server eligibility while entries change, expire and are renewed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from tests.router.gateway.builders import make_entry
from tests.router.gateway.view.incarnations import is_superseded

from cornellead.gateway.view import ServerRateLimit
from cornellead.gateway.view import ServerRegistry
from cornellead_core.routing import ReportedLoad

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from cornellead.gateway.view import ServerState

SERVERS = st.sampled_from(["s1", "s2", "s3"])
DATA_CENTRES = st.sampled_from(["dc-a", "dc-b"])
EXPIRY_GRACE_S = 2.5


class RegistryStateMachine(RuleBasedStateMachine):
    """Guards against requests to servers that are draining, removed, or out of service."""

    def __init__(self) -> None:
        super().__init__()
        self.registry = ServerRegistry(return_cold_s=3.0)
        self.now = 0.0
        self.entries: dict[str, tuple[str, bool]] = {}
        self.removed: set[str] = set()
        self.starts: dict[str, list[int]] = {}
        """Starts of each server in the order in which they were listed."""
        self.out_of_service: set[str] = set()
        self.store_unavailable = False
        self.store_recovered_at = float("-inf")

    @rule(seconds=st.floats(0.0, 2.0))
    def advance_clock(self, seconds: float) -> None:
        self.now += seconds
        self.registry.remove_expired(now=self.now)

    @rule(server=SERVERS, data_centre=DATA_CENTRES, draining=st.booleans(), start=st.integers(1, 3))
    def put(self, server: str, data_centre: str, draining: bool, start: int) -> None:
        self._reconnect()
        entry = make_entry(server, data_centre=data_centre, draining=draining, started_ms=start)
        self.registry.put(entry, now=self.now)
        starts = self.starts.setdefault(server, [])
        if is_superseded(starts, start):
            # A late write of an incarnation that was replaced: the later entry remains in force.
            return
        starts.append(start)
        self.entries[server] = (data_centre, draining)
        self.removed.discard(server)

    @rule(server=SERVERS)
    def remove(self, server: str) -> None:
        self._reconnect()
        self.registry.remove(server, now=self.now)
        if server in self.entries:
            _, draining = self.entries[server]
            if draining or self.now - self.store_recovered_at >= EXPIRY_GRACE_S:
                self.removed.add(server)

    @rule()
    def mark_store_unavailable(self) -> None:
        self.registry.mark_store_unavailable()
        self.store_unavailable = True

    @rule(data_centre=DATA_CENTRES, out=st.booleans())
    def set_out_of_service(self, data_centre: str, out: bool) -> None:
        self.registry.set_out_of_service(data_centre, out=out, now=self.now)
        (self.out_of_service.add if out else self.out_of_service.discard)(data_centre)

    def _reconnect(self) -> None:
        if self.store_unavailable:
            self.store_unavailable = False
            self.store_recovered_at = self.now
        self.registry.mark_store_available(now=self.now)
        self.registry.remove_expired(now=self.now)

    @invariant()
    def only_eligible_servers_are_usable(self) -> None:
        for state in self.registry.usable("llm"):
            data_centre, draining = self.entries[state.entry.server]
            assert not draining
            assert data_centre not in self.out_of_service
            assert state.entry.server not in self.removed


TestRegistryStateMachine = RegistryStateMachine.TestCase


def test_entry_expired_during_store_outage_is_retained() -> None:
    """Guards against rejecting all requests when every entry expires during a store outage."""
    registry = ServerRegistry()
    registry.put(make_entry(), now=0.0)
    registry.mark_store_unavailable()
    registry.mark_store_available(now=10.0)
    assert registry.remove("s1", now=10.0) is None
    assert len(registry.usable("llm")) == 1
    registry.put(make_entry(), now=11.5)
    assert registry.remove_expired(now=13.0) == []
    assert len(registry.usable("llm")) == 1


def test_entry_not_renewed_after_outage_is_removed() -> None:
    """Guards against requests to a server that ended during a store outage."""
    registry = ServerRegistry()
    registry.put(make_entry(), now=0.0)
    registry.mark_store_unavailable()
    registry.mark_store_available(now=10.0)
    registry.remove("s1", now=10.0)
    assert [state.entry.server for state in registry.remove_expired(now=12.6)] == ["s1"]
    assert registry.usable("llm") == []


@pytest.mark.parametrize(("others", "removed"), [(True, {"s1"}), (False, set())])
def test_missing_server_is_removed_earlier_if_its_service_has_others(
    others: bool, removed: set[str]
) -> None:
    """Guards against requests to a server that ended in a cut, until a router that noticed its end
    late gives it up (the day of review/13)."""
    registry = ServerRegistry()
    registry.put(make_entry(), now=0.0)
    if others:
        registry.put(make_entry("s2"), now=0.0)
    registry.mark_store_unavailable()
    registry.mark_store_available(now=10.0)
    registry.remove("s1", now=10.0)
    assert registry.deferring and registry.remove_expired(now=11.9) == []
    assert {state.entry.server for state in registry.remove_expired(now=12.1)} == removed


def test_restarted_server_gets_new_state() -> None:
    """Guards against reusing health and cold period of an earlier incarnation with the same
    name."""
    registry = ServerRegistry()
    registry.put(make_entry(started_ms=1), now=0.0)
    first = registry.get("s1")
    ended = registry.put(make_entry(started_ms=2, cold_s=3.0), now=5.0)
    assert ended == [first]
    state = registry.get("s1")
    assert state is not None and state.cold(now=6.0)


def test_servers_are_cold_after_data_centre_returns() -> None:
    """Guards against a burst of requests to servers that are cold but whose entries don't show it
    yet."""
    registry = ServerRegistry(return_cold_s=3.0)
    registry.put(make_entry(), now=0.0)
    registry.set_out_of_service("dc-a", out=True, now=1.0)
    registry.set_out_of_service("dc-a", out=False, now=9.0)
    registry.put(make_entry(), now=9.5)
    state = registry.get("s1")
    assert state is not None and state.cold(now=11.0) and not state.cold(now=12.1)


def test_servers_of_first_list_are_not_new() -> None:
    """Guards against a restarted router that treats every server as new and so never copies the
    prompt of a chat that moves to another server."""
    registry = ServerRegistry()
    registry.replace_all([make_entry("s1")], now=100.0)
    registry.put(make_entry("s2"), now=101.0)
    ages = [101.0 - state.listed_at for state in registry.listed("llm")]
    assert ages == [float("inf"), 0.0]


def test_thousands_of_servers_are_listed_in_a_short_turn() -> None:
    """Guards against a list of servers that takes the event loop from all callers for seconds."""
    entries = [make_entry(f"s{number}", address=f"10.0.0.1:{number}") for number in range(5000)]
    registry = ServerRegistry()
    started_at = time.perf_counter()
    registry.replace_all(entries, now=0.0)
    assert time.perf_counter() - started_at < 1.0
    assert len(registry) == len(entries)


def _registry() -> ServerRegistry:
    registry = ServerRegistry()
    registry.set_services({"llm", "box"})
    return registry


def test_address_belongs_to_server_started_last() -> None:
    """Guards against requests to a server that ended but whose entry remains: the new server at its
    address rejects each one, which uses up the retry budget."""
    registry = _registry()
    old = make_entry("s1", address="10.0.0.1:80", started_ms=1)
    new = make_entry("s2", address="10.0.0.1:80", started_ms=2)
    registry.put(old, now=0.0)
    assert [state.entry.server for state in registry.put(new, now=1.0)] == ["s1"]
    assert registry.put(old, now=2.0) == []
    assert [state.entry.server for state in registry.usable("llm")] == ["s2"]


def test_order_of_entries_does_not_matter() -> None:
    """Guards against an ended server replacing the server that now has its address."""
    old = make_entry("s1", address="10.0.0.1:80", started_ms=1)
    new = make_entry("s2", address="10.0.0.1:80", started_ms=2)
    for entries in ([old, new], [new, old]):
        registry = _registry()
        registry.replace_all(entries, now=0.0)
        assert [state.entry.server for state in registry.usable("llm")] == ["s2"]


def test_addresses_are_indexed_when_configuration_arrives_last() -> None:
    """Guards against duplicate addresses when the servers are read before the configuration."""
    registry = ServerRegistry()
    registry.put(make_entry("s1", address="10.0.0.1:80", started_ms=1), now=0.0)
    registry.set_services({"llm"})
    ended = registry.put(make_entry("s2", address="10.0.0.1:80", started_ms=2), now=1.0)
    assert [state.entry.server for state in ended] == ["s1"]


def test_servers_without_start_time_keep_their_addresses() -> None:
    """Guards against an entry without a start time that removes another server."""
    registry = _registry()
    registry.put(make_entry("s1", address="10.0.0.1:80", started_ms=5), now=0.0)
    assert registry.put(make_entry("s2", address="10.0.0.1:80", started_ms=0), now=1.0) == []
    assert len(registry.usable("llm")) == 2


def test_entry_of_unknown_service_claims_no_address() -> None:
    """Guards against a foreign entry that removes a server or prevents its registration."""
    configured = make_entry("s1", address="10.0.0.1:80", started_ms=5)
    foreign = make_entry("s2", address="10.0.0.1:80", started_ms=9, service="nobody")
    for entries in ([configured, foreign], [foreign, configured]):
        registry = _registry()
        for entry in entries:
            assert registry.put(entry, now=0.0) == []
        assert [state.entry.server for state in registry.usable("llm")] == ["s1"]


def _list_server_that_responded() -> tuple[ServerRegistry, ServerState]:
    registry = ServerRegistry()
    registry.set_services(["llm"])
    registry.put(make_entry(started_ms=5, sequence=7), now=0.0)
    state = registry.get("s1")
    assert state is not None
    state.record_leaving(now=1.0)
    state.record_pause(30.0, now=1.0)
    state.record_rate_limit(ServerRateLimit(4.0, 1.0, "r1"))
    state.record_reported_load(ReportedLoad(running=5, waiting=2, slots=8), now=1.0)
    state.health.start_request(1, now=1.0)
    state.health.record_connect_failure(now=1.0)
    return registry, state


def _remove(registry: ServerRegistry) -> None:
    registry.remove("s1", now=2.0)


def _lapse_in_an_outage(registry: ServerRegistry) -> None:
    registry.mark_store_unavailable()
    registry.remove("s1", now=2.0)
    registry.mark_store_available(now=2.0)
    registry.remove_expired(now=2.0 + EXPIRY_GRACE_S)


def _list_without(registry: ServerRegistry) -> None:
    registry.replace_all([], now=2.0)


def _lose_address(registry: ServerRegistry) -> None:
    """Let another writer's entry take the address for a while."""
    address = make_entry("s1").address
    registry.put(make_entry("odd", address=address, started_ms=9), now=2.0)
    registry.remove("odd", now=3.0)


def _list_an_unknown_earlier_start(registry: ServerRegistry) -> None:
    """Let an entry of a start that was not listed before replace the one that is."""
    registry.put(make_entry(started_ms=4), now=2.0)


LOSSES = [
    _remove,
    _lapse_in_an_outage,
    _list_without,
    _lose_address,
    _list_an_unknown_earlier_start,
]


@pytest.mark.parametrize("lose_entry", LOSSES)
def test_server_whose_entry_comes_back_keeps_its_state(
    lose_entry: Callable[[ServerRegistry], None],
) -> None:
    """Guards against requests to a leaving or pausing server after a late write of its entry
    (issue 35, review/5)."""
    registry, state = _list_server_that_responded()
    lose_entry(registry)
    assert registry.get("s1") is not state
    registry.put(make_entry(started_ms=5, sequence=8), now=6.0)
    assert registry.get("s1") is state
    assert registry.usable("llm") == []
    assert state.paused_until == 31.0 and state.health.in_flight == 1


@pytest.mark.parametrize("lose_entry", LOSSES)
def test_restarted_server_is_used_at_once(lose_entry: Callable[[ServerRegistry], None]) -> None:
    """Guards against a leaving or a pause that outlasts the incarnation that told it."""
    registry, _ = _list_server_that_responded()
    lose_entry(registry)
    registry.put(make_entry(started_ms=6, sequence=1), now=6.0)
    restarted = registry.get("s1")
    assert restarted is not None and registry.usable("llm") == [restarted]
    assert restarted.paused_until == 0.0 and restarted.health.in_flight == 0
    assert restarted.rate_limit is None and restarted.health.responsive(now=6.0)


def test_server_without_entry_is_cold_after_its_data_centre_returns() -> None:
    """Guards against a burst to a cold server whose entry was missing at the return."""
    registry = ServerRegistry(return_cold_s=3.0)
    registry.put(make_entry(sequence=1), now=0.0)
    registry.set_out_of_service("dc-a", out=True, now=1.0)
    registry.remove("s1", now=2.0)
    registry.set_out_of_service("dc-a", out=False, now=9.0)
    registry.put(make_entry(sequence=2), now=9.5)
    state = registry.get("s1")
    assert state is not None and state.cold(now=11.0) and not state.cold(now=12.1)


@pytest.mark.parametrize("removed", [False, True])
def test_late_write_of_an_earlier_incarnation_replaces_nothing(removed: bool) -> None:
    """Guards against requests to a leaving server under the state of its earlier incarnation."""
    registry = ServerRegistry()
    registry.set_services(["llm"])
    registry.put(make_entry(started_ms=5, sequence=7), now=0.0)
    registry.put(make_entry(started_ms=6, sequence=1), now=1.0)
    restarted = registry.get("s1")
    assert restarted is not None
    restarted.record_leaving(now=1.5)
    if removed:
        registry.remove("s1", now=2.0)
    assert registry.put(make_entry(started_ms=5, sequence=8), now=3.0) == []
    assert registry.get("s1") is (None if removed else restarted)
    assert registry.usable("llm") == []


@pytest.mark.parametrize(
    ("change", "leaving"),
    [
        ({}, False),
        ({"draining": True}, True),
        ({"started_ms": 2}, False),
        ({"started_ms": 2, "draining": True}, True),
        ({"started_ms": 2, "address": "s1.test:81"}, True),
        (None, True),
    ],
    ids=["listed", "draining", "restarted", "restarted-draining", "moved", "removed"],
)
def test_incarnation_is_leaving_unless_its_address_is_in_use(
    change: dict[str, Any] | None, leaving: bool
) -> None:
    """Guards against a killed server that counts as leaving since it was restarted before."""
    registry = ServerRegistry()
    registry.put(make_entry(), now=0.0)
    state = registry.states()[0]
    if change is None:
        registry.remove("s1", now=1.0)
    else:
        registry.put(make_entry(**change), now=1.0)
    assert registry.is_leaving(state) is leaving
