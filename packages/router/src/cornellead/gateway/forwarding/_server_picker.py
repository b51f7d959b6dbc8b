"""Choice of the server for the next attempt of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.gateway.policy import PlacementContext
from cornellead.gateway.policy import exclude
from cornellead.gateway.policy import expected_wait_s
from cornellead.gateway.policy import find_prompt_source
from cornellead.gateway.policy import order_by_cost
from cornellead.gateway.policy import order_for_chat
from cornellead.gateway.policy import request_jitter

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.policy import ChatOrder
    from cornellead.gateway.policy import ColdStartLimiter
    from cornellead.gateway.view import FleetView
    from cornellead.gateway.view import ServerState


MIN_FETCHED_TOKENS = 256
"""Shared tokens below which no cached prompt is fetched from another server: computing so few takes
about as long as setting up the fetch."""
MAX_WAIT_SHARE = 0.5
"""Maximum expected wait for a slot, as a fraction of the time until the deadline; the rest is left
for the response."""


class NoServer(NamedTuple):
    """Result of `ServerPicker.pick` if no server may receive the request now."""

    next_send_at: float | None
    """When this router may next send to a cold server, in seconds; ``None`` if to none."""
    usable_servers: int
    """Number of servers of the service that could be chosen, tried ones included."""
    wait_s: float | None = None
    """Shortest expected wait for a slot; ``None`` if no server was ruled out by its wait."""


class ServerPicker:
    """Applies the placement policy to the router's view of the fleet.

    :param regions: Region of each data centre.
    :param load_factor: Upper bound on the load of a server, as a multiple of the mean load.
    :param order: Sorts the model servers by preference for a chat.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        cold_limiter: ColdStartLimiter,
        data_centre: str,
        regions: Mapping[str, str],
        load_factor: float,
        order: ChatOrder = order_for_chat,
    ) -> None:
        self._view = view
        self._cold_limiter = cold_limiter
        self._data_centre = data_centre
        self._regions = regions
        self.load_factor = load_factor
        self._order = order

    def pick(
        self, admitted: AdmittedRequest, *, tried: Collection[str], now: float
    ) -> ServerState | NoServer:
        """Choose a server; if it is cold, count the request against its cold-start rate limit.

        :param tried: Servers that are excluded because this request was already sent to them.
        :param now: Seconds.
        """
        routers = self._view.routers(now=now)
        servers = self._view.servers.usable(
            admitted.service.name, allow=lambda s: self._region_allowed(admitted, s)
        )
        fleet = self._view.load
        loads = {
            state.entry.server: state.load(fleet, routers=len(routers), now=now)
            for state in self._view.servers.listed(admitted.service.name)
        }
        if admitted.affinity:
            jitter = request_jitter(admitted.caller.request_id)
            ordered = self._order(
                PlacementContext(admitted.affinity, servers, loads, self.load_factor, jitter, now)
            )
        else:
            ordered = order_by_cost(servers, loads, data_centre=self._data_centre, now=now)
        rate_per_s = admitted.service.cold_rate_per_s
        next_send_at: float | None = None
        shortest_wait_s: float | None = None
        for state in exclude(ordered, tried):
            wait_s = self._expected_wait_s(admitted, state, now=now)
            if wait_s > MAX_WAIT_SHARE * admitted.attempts.time_left_s(now=now):
                shortest_wait_s = min(wait_s, shortest_wait_s or wait_s)
                continue
            if rate_per_s <= 0 or not state.cold(now=now):
                return state
            name = state.entry.server
            if self._cold_limiter.try_send(name, rate_per_s=rate_per_s, routers=routers, now=now):
                return state
            next_at = self._cold_limiter.next_send_at(
                name, rate_per_s=rate_per_s, routers=routers, now=now
            )
            if next_at is not None and (next_send_at is None or next_at < next_send_at):
                next_send_at = next_at
        return NoServer(next_send_at, len(servers), shortest_wait_s)

    def prompt_source(
        self, admitted: AdmittedRequest, target: ServerState, *, now: float
    ) -> ServerState | None:
        """Return the server from whose cache the target should fetch the shared prompt, if any."""
        if admitted.shared_tokens < MIN_FETCHED_TOKENS:
            return None
        registry = self._view.servers
        return find_prompt_source(
            admitted.affinity,
            target,
            [s for s in registry.listed(admitted.service.name) if registry.in_service(s)],
            self._view.prompts.holders(admitted.affinity, now=now),
            now=now,
        )

    def _expected_wait_s(
        self, admitted: AdmittedRequest, state: ServerState, *, now: float
    ) -> float:
        # Only load that the server itself reported may cause a refusal. The sum of a few routers'
        # reports is an estimate; if it is too high, requests are refused while slots are free.
        load = state.reported_load(now=now)
        if not admitted.affinity or load is None:
            return 0.0
        health = state.health
        return expected_wait_s(
            ahead=load * health.share_ahead(admitted.urgency),
            slots=state.entry.slots,
            slot_duration_s=health.stream_duration_s,
        )

    def _region_allowed(self, admitted: AdmittedRequest, state: ServerState) -> bool:
        return (
            not admitted.regions or self._regions.get(state.entry.data_centre) in admitted.regions
        )
