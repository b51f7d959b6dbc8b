"""Registry of the servers and of their eligibility for requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.view._ended_servers import EndedServers
from cornellead.gateway.view._server_state import ServerState
from cornellead.gateway.view._store_history import SETTLE_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from cornellead_core.routing import EntryCount
    from cornellead_core.routing import ServerEntry

RETURN_S = 2.0
"""Time after a store outage within which sound servers renew entries that expired. Servers that are
still missing then are removed if others of their service are listed."""
EXPIRY_GRACE_S = 2.5
"""Time after a store outage for which removals of expired entries are deferred at most: the last
server of a service is kept a little longer."""
LISTED_BEFORE_START = float("-inf")
"""Value of `listed_at` for servers that were listed before this router started: they count as
established, so they may be the home server of existing chats."""


class ServerRegistry:
    """Servers of all services, as listed in the store.

    A server receives no requests while its entry or one of its responses says that it is leaving,
    after its entry was removed, or while its data centre is out of service. An entry that still
    says ready was written before the server began to leave. An incarnation whose entry comes back
    has the state that it had.

    During a store outage healthy servers cannot renew their entries either, so the removal of an
    entry that may have expired meanwhile is deferred until `RETURN_S` after the outage, or until
    `EXPIRY_GRACE_S` if no other server of the service is listed.

    :param return_cold_s: Time for which servers count as cold after their data centre returned to
        service.
    """

    def __init__(self, *, return_cold_s: float = 0.0) -> None:
        self.return_cold_s = return_cold_s
        self._services: frozenset[str] = frozenset()
        self._servers: dict[str, ServerState] = {}
        self._by_service: dict[str, list[ServerState]] = {}
        self._by_address: dict[str, ServerState] = {}
        self._by_hash: dict[int, ServerState] = {}
        self._out_of_service: set[str] = set()
        self._store_recovered_at: float | None = None
        self._store_unavailable = False
        self._store_restored_at: float | None = None
        self._ended = EndedServers()

    def __len__(self) -> int:
        return len(self._servers)

    @property
    def data_centres_out_of_service(self) -> frozenset[str]:
        """Data centres that operators took out of service."""
        return frozenset(self._out_of_service)

    @property
    def deferring(self) -> bool:
        """Whether the removal of a server is deferred."""
        return any(state.missing_since is not None for state in self._servers.values())

    def set_services(self, services: Iterable[str]) -> None:
        """Set the services of the active configuration."""
        self._services = frozenset(services)
        self._rebuild_indexes()

    def states(self) -> list[ServerState]:
        """Return the states of all servers."""
        return list(self._servers.values())

    def get(self, server: str) -> ServerState | None:
        """Return the state of a server; ``None`` if it is not registered."""
        return self._servers.get(server)

    def put(self, entry: ServerEntry, *, now: float) -> list[ServerState]:
        """Add or update the entry of a server.

        If several entries have the same address, it belongs to the server that started last: the
        entry of a server that ended remains for some heartbeats, and requests sent to it would
        reach the wrong server. Entries of services that are not configured may come from another
        writer, so they don't claim an address.

        :param now: Seconds.
        :returns: The states that ended: an earlier incarnation of the server, or the previous owner
            of its address.
        """
        state = self._servers.get(entry.server)
        if self.is_outdated(entry, now=now):
            return []
        if state is not None and state.entry.started_ms == entry.started_ms:
            service_changed = state.entry.service != entry.service
            state.update(entry, now=now)
            if service_changed:
                self._rebuild_indexes()
            return []
        ended = [] if state is None else [state]
        address_owner = self._by_address.get(entry.address)
        if (
            address_owner is not None
            and address_owner is not state
            and entry.service in self._services
        ):
            earlier_ms, later_ms = sorted((entry.started_ms, address_owner.entry.started_ms))
            if 0 < earlier_ms < later_ms == address_owner.entry.started_ms:
                return []
            if 0 < earlier_ms < later_ms:
                del self._servers[address_owner.entry.server]
                self._ended.add(address_owner, now=now)
                ended.append(address_owner)
        if state is not None:
            self._ended.add(state, now=now)
        started = self._servers[entry.server] = self._make_state(entry, now=now)
        if ended:
            self._rebuild_indexes()
        else:
            # A list of thousands of new servers is applied in one turn of the event loop.
            self._index(started)
        return ended

    def remove(self, server: str, *, now: float, left: bool = False) -> ServerState | None:
        """Remove the entry of a server, or defer its removal if the store is or recently was
        unavailable.

        :param left: Whether the entry is known not to have lapsed.
        :returns: The removed state; ``None`` if the server is unknown or its removal was deferred.
        """
        state = self._servers.get(server)
        if state is None:
            return None
        if self._defers_removals(now) and not (left or state.entry.draining):
            state.missing_since = now if state.missing_since is None else state.missing_since
            return None
        del self._servers[server]
        self._ended.add(state, now=now)
        self._rebuild_indexes()
        return state

    def replace_all(
        self, entries: Iterable[ServerEntry], *, now: float, left: Collection[str] = ()
    ) -> list[ServerState]:
        """Replace the registry with a complete list of entries.

        :param left: Servers whose entries are known not to have lapsed if they are not listed.
        :returns: The states that ended.
        """
        listed = {entry.server: entry for entry in entries}
        initial = not self._servers
        ended = [state for entry in listed.values() for state in self.put(entry, now=now)]
        if initial:
            for state in self._servers.values():
                state.listed_at = LISTED_BEFORE_START
        removed = [
            self.remove(name, now=now, left=name in left)
            for name in set(self._servers) - set(listed)
        ]
        return ended + [state for state in removed if state is not None]

    def record_counts(self, counts: Iterable[EntryCount], *, now: float) -> None:
        """Record the latest known writes of servers, also of those that were never listed here.

        :param now: Seconds.
        """
        unlisted: list[EntryCount] = []
        for count in counts:
            state = self._servers.get(count.server)
            if state is not None and state.entry.started_ms == count.started_ms:
                state.record_sequence(count.sequence)
            else:
                unlisted.append(count)
        if unlisted:
            self._ended.record_counts(unlisted, now=now)

    def remove_expired(self, *, now: float) -> list[ServerState]:
        """Remove and return servers whose deferred removals are due."""
        if self._defers_removals(now, grace_s=RETURN_S):
            return []
        missing = [state for state in self._servers.values() if state.missing_since is not None]
        ended = missing
        if missing and self._defers_removals(now):
            listed = {
                state.entry.service
                for state in self._servers.values()
                if state.missing_since is None and self._accepts_requests(state)
            }
            ended = [state for state in missing if state.entry.service in listed]
        for state in ended:
            del self._servers[state.entry.server]
            self._ended.add(state, now=now)
        if ended:
            self._rebuild_indexes()
        return ended

    def mark_store_unavailable(self) -> None:
        """Record the start of a store outage."""
        self._store_unavailable = True

    def mark_store_available(self, *, now: float) -> None:
        """Record the end of a store outage, if there was one."""
        if self._store_unavailable:
            self._store_unavailable = False
            self._store_recovered_at = now

    def mark_store_restored(self, *, now: float) -> None:
        """Record that the store came back from an older copy.

        Servers that are missing in the copy have the time to write again that they have after an
        outage.
        """
        self._store_restored_at = now
        self._store_recovered_at = now

    def is_outdated(self, entry: ServerEntry, *, now: float) -> bool:
        """Return whether a later entry of the server is known.

        Counts start anew with a restart, so only those of the same start are compared. An
        incarnation that a later one has replaced does not come back. While a restored store
        settles, an entry without a count or of an earlier start is taken for one of the copy if it
        contradicts what is known.
        """
        state = self._servers.get(entry.server)
        if self._ended.is_superseded(entry, state):
            return True
        ended = self._ended.find(entry) if state is None else None
        last = ended if state is None else state
        if not entry.started_ms > 0:
            return False
        if last is None:
            return 0 < entry.sequence <= self._ended.last_sequence(entry)
        known = last.entry
        restored_at = self._store_restored_at
        settling = restored_at is not None and now - restored_at < SETTLE_S
        if entry.started_ms != known.started_ms:
            return settling and entry.started_ms < known.started_ms
        if entry.sequence and known.sequence:
            return entry.sequence < known.sequence or (
                ended is not None and entry.sequence == known.sequence
            )
        if ended is not None:
            return settling and not entry.sequence
        return settling and known.draining and not entry.draining

    def set_out_of_service(self, data_centre: str, *, out: bool, now: float) -> bool:
        """Take a data centre out of service or return it to service.

        Its servers count as cold for `return_cold_s` after its return.

        :returns: Whether the state of the data centre changed.
        """
        if out == (data_centre in self._out_of_service):
            return False
        if out:
            self._out_of_service.add(data_centre)
            return True
        self._out_of_service.discard(data_centre)
        for state in (*self._servers.values(), *self._ended):
            if state.entry.data_centre == data_centre:
                state.assume_cold(self.return_cold_s, now=now)
        return True

    def usable(
        self, service: str, *, allow: Callable[[ServerState], bool] | None = None
    ) -> list[ServerState]:
        """Return the servers of a service that may receive requests.

        :param allow: Additional filter, for example by region.
        """
        return [
            state
            for state in self._by_service.get(service, ())
            if self._accepts_requests(state) and (allow is None or allow(state))
        ]

    def is_leaving(self, state: ServerState) -> bool:
        """Return whether a server is leaving, or is listed no longer.

        If it was restarted at its address, the later incarnation counts: its entry may arrive while
        it serves requests that were sent to the earlier one.
        """
        listed = self._servers.get(state.entry.server)
        if state.leaving or listed is None or listed.entry.address != state.entry.address:
            return True
        return listed.leaving

    def by_hash(self, name_hash: int) -> ServerState | None:
        """Return the state of the server whose name has a hash; ``None`` if there is none."""
        return self._by_hash.get(name_hash)

    def rate_limited(self) -> list[ServerState]:
        """Return the servers that name a rate limit."""
        return [
            state
            for state in self._servers.values()
            if state.rate_limit is not None and state.rate_limit.per_s is not None
        ]

    def listed(self, service: str) -> list[ServerState]:
        """Return all servers of a service, including those that may not receive requests."""
        return list(self._by_service.get(service, ()))

    def in_flight_counts(self) -> dict[int, int]:
        """Return this router's in-flight requests by hash of the server name."""
        return {
            state.name_hash: state.health.in_flight
            for state in self._servers.values()
            if state.health.in_flight
        }

    def in_service(self, state: ServerState) -> bool:
        """Return whether the server's data centre is in service."""
        return state.entry.data_centre not in self._out_of_service

    def _accepts_requests(self, state: ServerState) -> bool:
        return not state.leaving and self.in_service(state)

    def _defers_removals(self, now: float, *, grace_s: float = EXPIRY_GRACE_S) -> bool:
        if self._store_unavailable:
            return True
        recovered_at = self._store_recovered_at
        return recovered_at is not None and now - recovered_at < grace_s

    def _make_state(self, entry: ServerEntry, *, now: float) -> ServerState:
        """Return the state for an entry: the earlier one if its incarnation was listed before."""
        state = self._ended.pop(entry)
        if state is None:
            return ServerState(entry=entry, now=now)
        state.update(entry, now=now)
        return state

    def _rebuild_indexes(self) -> None:
        self._by_service, self._by_hash, self._by_address = {}, {}, {}
        for state in self._servers.values():
            self._index(state)

    def _index(self, state: ServerState) -> None:
        self._by_service.setdefault(state.entry.service, []).append(state)
        self._by_hash[state.name_hash] = state
        if state.entry.service in self._services:
            self._by_address[state.entry.address] = state
