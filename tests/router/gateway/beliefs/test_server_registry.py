"""Which servers may be used while entries change, lapse and come back."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from tests.router.gateway.builders import make_entry

from cornellead.gateway.beliefs import ServerRegistry

SERVERS = st.sampled_from(["s1", "s2", "s3"])
DATA_CENTRES = st.sampled_from(["dc-a", "dc-b"])
LAPSE_GRACE_S = 2.5


class RegistryLife(RuleBasedStateMachine):
    """Guards against requests to servers that drain, are gone, or are out of service."""

    def __init__(self) -> None:
        super().__init__()
        self.registry = ServerRegistry(return_cold_s=3.0)
        self.now = 0.0
        self.entries: dict[str, tuple[str, bool]] = {}
        self.gone_for_sure: set[str] = set()
        self.out: set[str] = set()
        self.away = False
        self.back_at = float("-inf")

    @rule(seconds=st.floats(0.0, 2.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.registry.expire_lapsed(now=self.now)

    @rule(server=SERVERS, data_centre=DATA_CENTRES, draining=st.booleans(), start=st.integers(1, 3))
    def put(self, server: str, data_centre: str, draining: bool, start: int) -> None:
        self._read()
        entry = make_entry(server, data_centre=data_centre, draining=draining, started_ms=start)
        self.registry.put(entry, now=self.now)
        self.entries[server] = (data_centre, draining)
        self.gone_for_sure.discard(server)

    @rule(server=SERVERS)
    def remove(self, server: str) -> None:
        self._read()
        self.registry.remove(server, now=self.now)
        if server in self.entries:
            _, draining = self.entries[server]
            if draining or self.now - self.back_at >= LAPSE_GRACE_S:
                self.gone_for_sure.add(server)

    @rule()
    def lose_store(self) -> None:
        self.registry.lose_store()
        self.away = True

    @rule(data_centre=DATA_CENTRES, out=st.booleans())
    def set_out(self, data_centre: str, out: bool) -> None:
        self.registry.set_out(data_centre, out=out, now=self.now)
        (self.out.add if out else self.out.discard)(data_centre)

    def _read(self) -> None:
        if self.away:
            self.away = False
            self.back_at = self.now
        self.registry.regain_store(now=self.now)
        self.registry.expire_lapsed(now=self.now)

    @invariant()
    def only_listed_servers_that_take_work_are_usable(self) -> None:
        for state in self.registry.usable("llm"):
            data_centre, draining = self.entries[state.entry.server]
            assert not draining
            assert data_centre not in self.out
            assert state.entry.server not in self.gone_for_sure


TestRegistryLife = RegistryLife.TestCase


def test_entry_that_lapsed_while_the_store_was_away_stays_for_a_while() -> None:
    """Guards against refusing all requests when all entries lapse in an outage of the store."""
    registry = ServerRegistry()
    registry.put(make_entry(), now=0.0)
    registry.lose_store()
    registry.regain_store(now=10.0)
    assert registry.remove("s1", now=10.0) is None
    assert len(registry.usable("llm")) == 1
    registry.put(make_entry(), now=11.5)
    assert registry.expire_lapsed(now=13.0) == []
    assert len(registry.usable("llm")) == 1


def test_entry_that_stays_missing_is_gone() -> None:
    """Guards against sending to a server that left during an outage of the store."""
    registry = ServerRegistry()
    registry.put(make_entry(), now=0.0)
    registry.lose_store()
    registry.regain_store(now=10.0)
    registry.remove("s1", now=10.0)
    assert [state.entry.server for state in registry.expire_lapsed(now=12.6)] == ["s1"]
    assert registry.usable("llm") == []


def test_restarted_server_starts_afresh() -> None:
    """Guards against the health and coldness of an earlier incarnation under the same name."""
    registry = ServerRegistry()
    registry.put(make_entry(started_ms=1), now=0.0)
    first = registry.get("s1")
    ended = registry.put(make_entry(started_ms=2, cold_s=3.0), now=5.0)
    assert ended == [first]
    state = registry.get("s1")
    assert state is not None and state.cold(now=6.0)


def test_returning_data_centre_is_cold_at_first() -> None:
    """Guards against a rush on servers whose entries do not show yet that they are cold."""
    registry = ServerRegistry(return_cold_s=3.0)
    registry.put(make_entry(), now=0.0)
    registry.set_out("dc-a", out=True, now=1.0)
    registry.set_out("dc-a", out=False, now=9.0)
    registry.put(make_entry(), now=9.5)
    state = registry.get("s1")
    assert state is not None and state.cold(now=11.0) and not state.cold(now=12.1)


def test_servers_that_were_there_before_are_no_newcomers() -> None:
    """Load: a router restarts. Guards against treating every server as new, so that no chat that
    moves has its prompt copied."""
    registry = ServerRegistry()
    registry.replace_all([make_entry("s1")], now=100.0)
    registry.put(make_entry("s2"), now=101.0)
    ages = [101.0 - state.listed_at for state in registry.listed("llm")]
    assert ages == [float("inf"), 0.0]


def _registry() -> ServerRegistry:
    registry = ServerRegistry()
    registry.set_services({"llm", "box"})
    return registry


def test_address_belongs_to_the_server_that_started_last() -> None:
    """Guards against requests to a server that ended and whose entry outlives it: each is refused
    by the server that has its address now, and takes from the retry budget."""
    registry = _registry()
    old = make_entry("s1", address="10.0.0.1:80", started_ms=1)
    new = make_entry("s2", address="10.0.0.1:80", started_ms=2)
    registry.put(old, now=0.0)
    assert [state.entry.server for state in registry.put(new, now=1.0)] == ["s1"]
    assert registry.put(old, now=2.0) == []
    assert [state.entry.server for state in registry.usable("llm")] == ["s2"]


def test_order_of_a_whole_list_does_not_matter() -> None:
    """Guards against an older server that displaces the one that has its address now."""
    old = make_entry("s1", address="10.0.0.1:80", started_ms=1)
    new = make_entry("s2", address="10.0.0.1:80", started_ms=2)
    for entries in ([old, new], [new, old]):
        registry = _registry()
        registry.replace_all(entries, now=0.0)
        assert [state.entry.server for state in registry.usable("llm")] == ["s2"]


def test_addresses_are_known_when_the_configuration_comes_last() -> None:
    """Guards against a start at which servers are listed before the configuration is read."""
    registry = ServerRegistry()
    registry.put(make_entry("s1", address="10.0.0.1:80", started_ms=1), now=0.0)
    registry.set_services({"llm"})
    ended = registry.put(make_entry("s2", address="10.0.0.1:80", started_ms=2), now=1.0)
    assert [state.entry.server for state in ended] == ["s1"]


def test_servers_of_unknown_start_keep_their_addresses() -> None:
    """Guards against an entry without a start that ends another server."""
    registry = _registry()
    registry.put(make_entry("s1", address="10.0.0.1:80", started_ms=5), now=0.0)
    assert registry.put(make_entry("s2", address="10.0.0.1:80", started_ms=0), now=1.0) == []
    assert len(registry.usable("llm")) == 2


def test_entry_of_an_unknown_service_takes_no_address() -> None:
    """Guards against an entry of another writer that ends a server or keeps it from its address."""
    real = make_entry("s1", address="10.0.0.1:80", started_ms=5)
    forged = make_entry("s2", address="10.0.0.1:80", started_ms=9, service="nobody")
    for entries in ([real, forged], [forged, real]):
        registry = _registry()
        for entry in entries:
            assert registry.put(entry, now=0.0) == []
        assert [state.entry.server for state in registry.usable("llm")] == ["s1"]
