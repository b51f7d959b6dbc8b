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
from cornellead.gateway.policy import spread_of

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
"""Part of its remaining time that a request may spend waiting for a slot; the rest is for the
response."""


class NoServer(NamedTuple):
    """No server can be sent the request now."""

    opens_at: float | None
    """When this router may next send to a cold server, in seconds; ``None`` if to none."""
    usable_servers: int
    """Number of servers of the service that could be chosen, tried ones included."""
    wait_s: float | None = None
    """Shortest expected wait for a slot; ``None`` if no server was ruled out by its wait."""


class ServerPicker:
    """Applies the placement policy to the router's view of the fleet.

    :param regions: Region of each data centre.
    :param load_factor: Multiple of the mean load that a server may have.
    :param order: Sorts the model servers by preference for a chat.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        gate: ColdStartLimiter,
        data_centre: str,
        regions: Mapping[str, str],
        load_factor: float,
        order: ChatOrder = order_for_chat,
    ) -> None:
        self._view = view
        self._gate = gate
        self._data_centre = data_centre
        self._regions = regions
        self.load_factor = load_factor
        self._order = order

    def pick(
        self, job: AdmittedRequest, *, tried: Collection[str], now: float
    ) -> ServerState | NoServer:
        """Choose a server; if it is cold, take one request from its cold-start rate limit.

        :param tried: Servers that are excluded because this request was already sent to them.
        :param now: Seconds.
        """
        routers = self._view.routers(now=now)
        servers = self._view.servers.usable(
            job.service.name, allow=lambda s: self._region_allowed(job, s)
        )
        fleet = self._view.load
        loads = {
            state.entry.server: state.load(fleet, routers=len(routers), now=now)
            for state in self._view.servers.listed(job.service.name)
        }
        if job.affinity:
            spread = spread_of(job.caller.request_id)
            ordered = self._order(
                PlacementContext(job.affinity, servers, loads, self.load_factor, spread, now)
            )
        else:
            ordered = order_by_cost(servers, loads, data_centre=self._data_centre, now=now)
        rate_per_s = job.service.cold_rate_per_s
        opens_at: float | None = None
        shortest_wait_s: float | None = None
        for state in exclude(ordered, tried):
            wait_s = self._expected_wait_s(job, state, now=now)
            if wait_s > MAX_WAIT_SHARE * job.rights.time_left_s(now=now):
                shortest_wait_s = min(wait_s, shortest_wait_s or wait_s)
                continue
            if rate_per_s <= 0 or not state.cold(now=now):
                return state
            name = state.entry.server
            if self._gate.try_send(name, rate_per_s=rate_per_s, routers=routers, now=now):
                return state
            next_at = self._gate.opens_at(name, rate_per_s=rate_per_s, routers=routers, now=now)
            if next_at is not None and (opens_at is None or next_at < opens_at):
                opens_at = next_at
        return NoServer(opens_at, len(servers), shortest_wait_s)

    def prompt_source(
        self, job: AdmittedRequest, target: ServerState, *, now: float
    ) -> ServerState | None:
        """Return the server from whose cache the target should fetch the shared prompt, if any."""
        if job.shared_tokens < MIN_FETCHED_TOKENS:
            return None
        registry = self._view.servers
        return find_prompt_source(
            job.affinity,
            target,
            [s for s in registry.listed(job.service.name) if registry.in_service(s)],
            self._view.prompts.holders(job.affinity, now=now),
            now=now,
        )

    def _expected_wait_s(self, job: AdmittedRequest, state: ServerState, *, now: float) -> float:
        # Only load that the server itself reported may cause a refusal. The sum of a few routers'
        # reports is an estimate; if it is too high, requests are refused while slots are free.
        load = state.answered_load(now=now)
        if not job.affinity or load is None:
            return 0.0
        health = state.health
        return expected_wait_s(
            ahead=load * health.share_before(job.urgency),
            slots=state.entry.slots,
            hold_s=health.hold_s,
        )

    def _region_allowed(self, job: AdmittedRequest, state: ServerState) -> bool:
        return not job.regions or self._regions.get(state.entry.data_centre) in job.regions
