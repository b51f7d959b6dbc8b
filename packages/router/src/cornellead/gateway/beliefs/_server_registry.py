"""Which servers may be used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.beliefs._server_state import ServerState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cornellead_core.routing import ServerEntry

LAPSE_GRACE_S = 2.5
"""Time after the store's return in which entries that lapsed meanwhile come back: servers renew
them within about two seconds."""
LISTED_BEFORE = float("-inf")
"""First listing of servers that were there before this router: they may be homes of chats."""


class ServerRegistry:
    """Servers of all services, as the store lists them.

    A server that drains, is gone, or stands in a data centre out of service receives nothing. An
    entry that lapsed during an outage of the store says little about its server: it is used until
    `LAPSE_GRACE_S` after the outage.

    :param return_cold_s: Time for which servers of a returning data centre are treated as cold.
    """

    def __init__(self, *, return_cold_s: float = 0.0) -> None:
        self.return_cold_s = return_cold_s
        self._services: frozenset[str] = frozenset()
        self._servers: dict[str, ServerState] = {}
        self._by_service: dict[str, list[ServerState]] = {}
        self._by_address: dict[str, ServerState] = {}
        self._out: set[str] = set()
        self._store_back_at: float | None = None
        self._store_away = False

    def __len__(self) -> int:
        return len(self._servers)

    @property
    def data_centres_out(self) -> frozenset[str]:
        """Data centres that operators have taken out of service."""
        return frozenset(self._out)

    def set_services(self, services: Iterable[str]) -> None:
        """Take the services of the configuration in force."""
        self._services = frozenset(services)
        self._index()

    def get(self, server: str) -> ServerState | None:
        """Return a server by its name."""
        return self._servers.get(server)

    def put(self, entry: ServerEntry, *, now: float) -> list[ServerState]:
        """Take an entry.

        An address belongs to the server that started last there: the entry of one that ended stays
        for some heartbeats, and whatever is sent to it is misdirected. Entries of services that are
        not configured may come from another writer and take no address.

        :param now: Seconds.
        :returns: The states that ended by it: an earlier incarnation, or what had its address.
        """
        state = self._servers.get(entry.server)
        if state is not None and state.entry.started_ms == entry.started_ms:
            moved = state.entry.service != entry.service
            state.update(entry, now=now)
            if moved:
                self._index()
            return []
        ended = [] if state is None else [state]
        other = self._by_address.get(entry.address)
        if other is not None and other is not state and entry.service in self._services:
            first, last = sorted((entry.started_ms, other.entry.started_ms))
            if 0 < first < last == other.entry.started_ms:
                return []
            if 0 < first < last:
                del self._servers[other.entry.server]
                ended.append(other)
        self._servers[entry.server] = ServerState(entry=entry, now=now)
        self._index()
        return ended

    def remove(self, server: str, *, now: float) -> ServerState | None:
        """Take the removal of an entry.

        :returns: The state of the server if it may no longer be used.
        """
        state = self._servers.get(server)
        if state is None:
            return None
        if self._in_lapse_grace(now) and not state.entry.draining:
            state.missing_since = now if state.missing_since is None else state.missing_since
            return None
        del self._servers[server]
        self._index()
        return state

    def replace_all(self, entries: Iterable[ServerEntry], *, now: float) -> list[ServerState]:
        """Take the whole list.

        :returns: The states that ended.
        """
        listed = {entry.server: entry for entry in entries}
        first = not self._servers
        ended = [state for entry in listed.values() for state in self.put(entry, now=now)]
        if first:
            for state in self._servers.values():
                state.listed_at = LISTED_BEFORE
        removed = [self.remove(name, now=now) for name in set(self._servers) - set(listed)]
        return ended + [state for state in removed if state is not None]

    def expire_lapsed(self, *, now: float) -> list[ServerState]:
        """Drop servers whose entries lapsed and did not come back in time."""
        if self._in_lapse_grace(now):
            return []
        ended = [state for state in self._servers.values() if state.missing_since is not None]
        for state in ended:
            del self._servers[state.entry.server]
        if ended:
            self._index()
        return ended

    def lose_store(self) -> None:
        """Note that the store cannot be read."""
        self._store_away = True

    def regain_store(self, *, now: float) -> None:
        """Note that the store can be read again."""
        if self._store_away:
            self._store_away = False
            self._store_back_at = now

    def set_out(self, data_centre: str, *, out: bool, now: float) -> bool:
        """Take a data centre out of service or put it back.

        :returns: Whether this changed anything.
        """
        if out == (data_centre in self._out):
            return False
        if out:
            self._out.add(data_centre)
            return True
        self._out.discard(data_centre)
        for state in self._servers.values():
            if state.entry.data_centre == data_centre:
                state.assume_cold(self.return_cold_s, now=now)
        return True

    def usable(
        self, service: str, *, allow: Callable[[ServerState], bool] | None = None
    ) -> list[ServerState]:
        """Return the servers of a service that may receive requests.

        :param allow: Further condition, for example on the region.
        """
        return [
            state
            for state in self._by_service.get(service, ())
            if self._takes_work(state) and (allow is None or allow(state))
        ]

    def listed(self, service: str) -> list[ServerState]:
        """Return all servers of a service, also those that may not be used."""
        return list(self._by_service.get(service, ()))

    def own_counts(self) -> dict[int, int]:
        """Return this router's requests at the servers, by the hash of the server's name."""
        return {
            state.name_hash: state.health.in_flight
            for state in self._servers.values()
            if state.health.in_flight
        }

    def in_service(self, state: ServerState) -> bool:
        """Return whether the server's data centre is in service."""
        return state.entry.data_centre not in self._out

    def _takes_work(self, state: ServerState) -> bool:
        return not state.entry.draining and self.in_service(state)

    def _in_lapse_grace(self, now: float) -> bool:
        if self._store_away:
            return True
        return self._store_back_at is not None and now - self._store_back_at < LAPSE_GRACE_S

    def _index(self) -> None:
        self._by_service = {}
        self._by_address = {
            state.entry.address: state
            for state in self._servers.values()
            if state.entry.service in self._services
        }
        for state in self._servers.values():
            self._by_service.setdefault(state.entry.service, []).append(state)
