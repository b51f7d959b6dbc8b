"""Server for the next attempt of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.gateway.policy import ChatPlacement
from cornellead.gateway.policy import exclude
from cornellead.gateway.policy import expected_wait_s
from cornellead.gateway.policy import find_prompt_source
from cornellead.gateway.policy import order_by_cost
from cornellead.gateway.policy import order_for_chat
from cornellead.gateway.policy import spread_of

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from cornellead.gateway.beliefs import FleetView
    from cornellead.gateway.beliefs import ServerState
    from cornellead.gateway.forwarding._job import Job
    from cornellead.gateway.policy import ChatOrder
    from cornellead.gateway.policy import ColdGate


MIN_FETCHED_TOKENS = 256
"""Shared tokens from which a prompt is fetched: fewer are read about as fast as a fetch starts."""
MAX_WAIT_SHARE = 0.5
"""Part of its time left for which a request may wait for a place; the rest is for its answer."""


class NoServer(NamedTuple):
    """No server can take the request now."""

    opens_at: float | None
    """When a cold server may take it, in seconds; ``None`` if none will."""
    listed: int
    """Usable servers of the service."""
    wait_s: float | None = None
    """Shortest expected wait for a place, if that is why none is left."""


class ServerPicker:
    """Applies the placement policy to what the router believes.

    :param regions: Region of each data centre.
    :param load_factor: Multiple of the mean load that a server may have.
    :param order: Order of model servers for a chat.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        gate: ColdGate,
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

    def pick(self, job: Job, *, tried: Collection[str], now: float) -> ServerState | NoServer:
        """Choose a server and count the request against its cold limit.

        :param tried: Servers that this request was sent to.
        :param now: Seconds.
        """
        routers = self._view.routers(now=now)
        servers = self._view.servers.usable(job.service.name, allow=lambda s: self._allowed(job, s))
        fleet = self._view.load
        loads = {
            state.entry.server: state.load(fleet, routers=len(routers), now=now)
            for state in self._view.servers.listed(job.service.name)
        }
        if job.affinity:
            spread = spread_of(job.caller.request_id)
            ordered = self._order(
                ChatPlacement(job.affinity, servers, loads, self.load_factor, spread, now)
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
            at = self._gate.opens_at(name, rate_per_s=rate_per_s, routers=routers, now=now)
            if at is not None and (opens_at is None or at < opens_at):
                opens_at = at
        return NoServer(opens_at, len(servers), shortest_wait_s)

    def prompt_source(self, job: Job, target: ServerState, *, now: float) -> ServerState | None:
        """Return the server from which the target should fetch the prompt, if any."""
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

    def _expected_wait_s(self, job: Job, state: ServerState, *, now: float) -> float:
        # Only what the server said itself is a reason to refuse: the sum of a few routers' reports
        # is an estimate, and too high an estimate would refuse while places are free.
        load = state.answered_load(now=now)
        if not job.affinity or load is None:
            return 0.0
        health = state.health
        return expected_wait_s(
            ahead=load * health.share_before(job.urgency),
            slots=state.entry.slots,
            hold_s=health.hold_s,
        )

    def _allowed(self, job: Job, state: ServerState) -> bool:
        return not job.regions or self._regions.get(state.entry.data_centre) in job.regions
