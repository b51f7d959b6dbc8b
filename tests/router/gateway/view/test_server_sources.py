"""State machine of what tells whether a server may be used: entries, responses, and their order."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from tests.router.gateway.builders import make_entry
from tests.router.gateway.view.incarnations import is_superseded

from cornellead.gateway.view import ServerRegistry
from cornellead.gateway.view import ServerState

SERVERS = st.sampled_from(["s1", "s2", "s3"])
STARTS = st.integers(1, 3)


class _Incarnation(NamedTuple):
    draining: bool
    leaving: bool
    paused_until: float


class ServerSources(RuleBasedStateMachine):
    """Compares the registry with a model of each server's incarnations, listed or not."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.listed: dict[str, int] = {}
        """Start of the incarnation that is listed, by server."""
        self.starts: dict[str, list[int]] = {}
        """Starts of each server in the order in which they were listed."""
        self.model: dict[tuple[str, int], _Incarnation] = {}
        self.registry = self._make_registry()
        self.earlier: list[ServerState] = []
        """States of servers to which requests were sent, whose responses may still arrive."""

    def _make_registry(self) -> ServerRegistry:
        registry = ServerRegistry()
        registry.set_services(["llm"])
        return registry

    @rule(server=SERVERS, started_ms=STARTS, draining=st.booleans())
    def receive_entry(self, server: str, started_ms: int, draining: bool) -> None:
        """Read a new entry of a server."""
        listed = self.listed.get(server)
        known = self.model.get((server, started_ms))
        if listed == started_ms and known is not None and known.draining:
            return
        self.registry.put(
            make_entry(server, started_ms=started_ms, draining=draining), now=self.now
        )
        starts = self.starts.setdefault(server, [])
        if is_superseded(starts, started_ms):
            return
        starts.append(started_ms)
        self.listed[server] = started_ms
        if known is None:
            known = _Incarnation(draining, False, 0.0)
        self.model[server, started_ms] = known._replace(draining=draining)

    @rule(server=SERVERS)
    def remove_entry(self, server: str) -> None:
        """Read that a server's entry was removed; the server itself may run on."""
        self.registry.remove(server, now=self.now)
        self.listed.pop(server, None)

    @rule(server=SERVERS)
    def remove_and_list_again(self, server: str) -> None:
        """Read that an entry was removed, and then a late write of it."""
        started_ms = self.listed.get(server)
        if started_ms is not None:
            self.remove_entry(server)
            draining = self.model[server, started_ms].draining
            self.receive_entry(server, started_ms, draining)

    @rule()
    def read_snapshot(self) -> None:
        """Read the newest entries of all servers again, which may be older than responses."""
        states = [self.registry.get(server) for server in self.listed]
        self.registry.replace_all([s.entry for s in states if s is not None], now=self.now)

    @rule(server=SERVERS)
    def send_request(self, server: str) -> None:
        """Send a request, whose response arrives at any later time."""
        state = self.registry.get(server)
        if state is not None:
            self.earlier.append(state)

    @rule(position=st.integers(0, 9), leaving=st.booleans(), pause_s=st.floats(0.0, 5.0))
    def receive_response(self, position: int, leaving: bool, pause_s: float) -> None:
        """Receive a response, perhaps of an incarnation that has ended."""
        if not self.earlier:
            return
        state = self.earlier[position % len(self.earlier)]
        if leaving:
            state.record_leaving(now=self.now)
        state.record_pause(pause_s, now=self.now)
        incarnation = state.entry.server, state.entry.started_ms
        known = self.model[incarnation]
        self.model[incarnation] = known._replace(
            leaving=known.leaving or leaving,
            paused_until=max(known.paused_until, self.now + pause_s),
        )

    @rule(seconds=st.floats(0.0, 10.0))
    def pass_time(self, seconds: float) -> None:
        """Let time pass; a freeze of the host is no different."""
        self.now += seconds

    @rule()
    def restart_router(self) -> None:
        """Start anew with the entries alone."""
        entries = [s.entry for name in self.listed if (s := self.registry.get(name)) is not None]
        self.registry = self._make_registry()
        self.registry.replace_all(entries, now=self.now)
        self.earlier = []
        self.starts = {server: [started_ms] for server, started_ms in self.listed.items()}
        self.model = {
            incarnation: self.model[incarnation]._replace(leaving=False, paused_until=0.0)
            for incarnation in self.listed.items()
        }

    @invariant()
    def only_servers_that_are_not_leaving_are_used(self) -> None:
        """Guards against a source that overrules later news of the same incarnation."""
        usable = {state.entry.server for state in self.registry.usable("llm")}
        listed = {name: self.model[name, start] for name, start in self.listed.items()}
        assert usable == {
            name for name, known in listed.items() if not (known.draining or known.leaving)
        }

    @invariant()
    def pauses_belong_to_the_incarnation(self) -> None:
        """Guards against a pause that is lost, shortened, or kept for a server that restarted."""
        for name, started_ms in self.listed.items():
            state = self.registry.get(name)
            known = self.model[name, started_ms]
            assert state is not None and state.paused_until == known.paused_until


TestServerSources = ServerSources.TestCase
