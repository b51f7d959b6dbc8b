"""Choice of the server for the next attempt of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.gateway.forwarding._rollout_gate import RolloutGate
from cornellead.gateway.policy import PlacementContext
from cornellead.gateway.policy import PromptPlacement
from cornellead.gateway.policy import PromptRequest
from cornellead.gateway.policy import exclude
from cornellead.gateway.policy import expected_wait_s
from cornellead.gateway.policy import find_prompt_source
from cornellead.gateway.policy import order_by_cost
from cornellead.gateway.policy import order_for_chat
from cornellead.gateway.policy import request_jitter
from cornellead.gateway.policy import return_at
from cornellead.gateway.policy import work_weights
from cornellead.gateway.view import PromptLoad
from cornellead.gateway.view import ServerState

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.policy import ChatOrder
    from cornellead.gateway.policy import ColdStartLimiter
    from cornellead.gateway.policy import ServerRateLimiter
    from cornellead.gateway.view import FleetView


MIN_FETCHED_TOKENS = 256
"""Shared tokens below which no cached prompt is fetched from another server: computing so few takes
about as long as setting up the fetch."""
MAX_WAIT_SHARE = 0.5
"""Maximum expected wait for a slot, as a fraction of the time until the deadline; the rest is left
for the response."""
RATE_LIMIT_WAIT_S = 0.2
"""Expected wait if only other routers may send to the servers with a rate limit: a caller usually
reaches one of them with its next connections."""


class NoServer(NamedTuple):
    """Result of `ServerPicker.pick` if no server may receive the request now."""

    next_send_at: float | None
    """When this router may next send to a cold server, in seconds; ``None`` if to none."""
    usable_servers: int
    """Number of servers of the service that could be chosen, tried ones included."""
    wait_s: float | None = None
    """Shortest expected wait for a slot, a rate limit or the end of a pause; ``None`` if no server
    was ruled out by any of them."""
    rate_limited: bool = False
    """Whether a server was ruled out by the rate limit that it names."""


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
        rate_limiter: ServerRateLimiter,
        data_centre: str,
        regions: Mapping[str, str],
        load_factor: float,
        order: ChatOrder = order_for_chat,
    ) -> None:
        self._view = view
        self._cold_limiter = cold_limiter
        self._rate_limiter = rate_limiter
        self._data_centre = data_centre
        self._regions = regions
        self.load_factor = load_factor
        self._order = order
        self.rollouts = RolloutGate(view=view)
        self._prompts = PromptPlacement()
        self.avoided = frozenset[str]()
        """Servers that the latest `find` put behind others because of prompts."""

    def pick(
        self,
        admitted: AdmittedRequest,
        *,
        tried: Collection[str],
        excluded: Collection[str] = (),
        now: float,
    ) -> ServerState | NoServer:
        """Choose a server, and count the request against the rate limits that apply to it.

        :param tried: Servers that this request was already sent to; chosen only if no other is
            left.
        :param excluded: Servers that are never chosen.
        :param now: Seconds.
        """
        picked = self.find(admitted, tried=tried, excluded=excluded, now=now)
        if isinstance(picked, ServerState):
            self.count_send(admitted, picked, now=now)
        return picked

    def find(
        self,
        admitted: AdmittedRequest,
        *,
        tried: Collection[str] = (),
        excluded: Collection[str] = (),
        now: float,
    ) -> ServerState | NoServer:
        """Choose a server for a request that may not be sent in the end.

        :param tried: As for `pick`.
        :param excluded: As for `pick`.
        :param now: Seconds.
        """
        servers = self.usable(admitted)
        picked: ServerState | NoServer = NoServer(None, 0)
        for group in self.rollouts.groups(admitted, servers):
            picked = self._find_among(group, admitted, tried=tried, excluded=excluded, now=now)
            if isinstance(picked, ServerState):
                break
        return picked

    def _find_among(
        self,
        servers: Sequence[ServerState],
        admitted: AdmittedRequest,
        *,
        tried: Collection[str],
        excluded: Collection[str],
        now: float,
    ) -> ServerState | NoServer:
        routers = self._view.routers(now=now)
        jitter = request_jitter(admitted.caller.request_id)
        awake = _exclude_paused(servers, jitter=jitter, now=now)
        if servers and not awake:
            resumes_at = min(_return_at(state, jitter) for state in servers)
            return NoServer(resumes_at, len(servers), resumes_at - now)
        fleet = self._view.load
        listed = self._view.servers.listed(admitted.service.name)
        loads = {
            state.entry.server: state.load(fleet, routers=len(routers), now=now) for state in listed
        }
        if admitted.affinity:
            prompt = self._describe_prompt(admitted, now=now)
            self.avoided = self._prompts.find_late(prompt, awake, loads, now=now)
            self.avoided |= self._prompts.find_full(prompt, awake, loads)
            ordered = self._order(
                PlacementContext(
                    admitted.affinity,
                    awake,
                    loads,
                    self.load_factor,
                    jitter,
                    now,
                    work_weights(listed),
                    self.avoided,
                )
            )
        else:
            ordered = order_by_cost(awake, loads, data_centre=self._data_centre, now=now)
        rate_per_s = admitted.service.cold_rate_per_s
        next_send_at: float | None = None
        shortest_wait_s: float | None = None
        rate_limited = False
        allowed = [state for state in ordered if state.entry.server not in excluded]
        for state in exclude(allowed, tried):
            wait_s = self._expected_wait_s(admitted, state, now=now)
            if wait_s > MAX_WAIT_SHARE * admitted.attempts.time_left_s(now=now):
                shortest_wait_s = min(wait_s, shortest_wait_s or wait_s)
                continue
            next_at = self._next_send_at(state, rate_per_s, routers, now=now)
            if next_at == now:
                return state
            rate_limited = rate_limited or self._limit_per_s(state) is not None
            if next_at is not None and (next_send_at is None or next_at < next_send_at):
                next_send_at = next_at
        if rate_limited and shortest_wait_s is None:
            shortest_wait_s = RATE_LIMIT_WAIT_S if next_send_at is None else next_send_at - now
        return NoServer(next_send_at, len(servers), shortest_wait_s, rate_limited)

    def usable(self, admitted: AdmittedRequest) -> list[ServerState]:
        """Return the servers that may run a request."""
        return self._view.servers.usable(
            admitted.service.name, allow=lambda s: self._region_allowed(admitted, s)
        )

    def in_force(self, admitted: AdmittedRequest) -> Sequence[ServerState]:
        """Return the servers that may run a request, without those of a version that gets a small
        share only, or nothing any more."""
        groups = self.rollouts.groups(admitted, self.usable(admitted), with_exposure=False)
        return groups[0]

    def _next_send_at(
        self, state: ServerState, cold_rate_per_s: float, routers: Sequence[str], *, now: float
    ) -> float | None:
        """Return when the server may get the next request of this router, ``now`` if at once."""
        name, times = state.entry.server, [now]
        limit_per_s = self._limit_per_s(state)
        if limit_per_s is not None:
            limited_until = self._rate_limiter.next_send_at(
                name, limit_per_s=limit_per_s, routers=routers, now=now
            )
            if limited_until is None:
                return None
            times.append(limited_until)
        if cold_rate_per_s > 0 and state.cold(now=now):
            cold_until = self._cold_limiter.next_send_at(
                name, rate_per_s=cold_rate_per_s, routers=routers, now=now
            )
            if cold_until is None:
                return None
            times.append(cold_until)
        return max(times)

    def may_send(self, admitted: AdmittedRequest, state: ServerState, *, now: float) -> bool:
        """Return whether the limits of a server and of its version allow a request now."""
        if not self.rollouts.may_send(admitted, state):
            return False
        rate_per_s, routers = admitted.service.cold_rate_per_s, self._view.routers(now=now)
        return self._next_send_at(state, rate_per_s, routers, now=now) == now

    def count_send(self, admitted: AdmittedRequest, state: ServerState, *, now: float) -> None:
        """Count a request against the limits of the server that gets it and of its version."""
        self.rollouts.count_send(admitted, state)
        limit_per_s = self._limit_per_s(state)
        cold_rate_per_s = admitted.service.cold_rate_per_s if state.cold(now=now) else 0.0
        if limit_per_s is None and cold_rate_per_s <= 0:
            return
        name, routers = state.entry.server, self._view.routers(now=now)
        if limit_per_s is not None:
            self._rate_limiter.try_send(name, limit_per_s=limit_per_s, routers=routers, now=now)
        if cold_rate_per_s > 0:
            self._cold_limiter.try_send(name, rate_per_s=cold_rate_per_s, routers=routers, now=now)

    def _limit_per_s(self, state: ServerState) -> float | None:
        return None if state.rate_limit is None else state.rate_limit.per_s

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

    def start_prompt(
        self, admitted: AdmittedRequest, state: ServerState, request: int, *, now: float
    ) -> None:
        """Count the prompt of a request that is sent to a server.

        :param request: Number of the attempt.
        """
        if not admitted.affinity:
            return
        prompt = self._describe_prompt(admitted, now=now)
        if 0 < prompt.capacity_tokens < prompt.tokens:
            # A server rejects a prompt that exceeds its memory, so that none of it is prefilled.
            return
        self._prompts.record_request(prompt)
        state.prompts.start(
            request, PromptLoad(prompt.tokens, prompt.uncached_tokens, prompt.new_tokens), now=now
        )

    def end_prefill(self, state: ServerState, request: int, *, now: float) -> None:
        """Record the first event of a request."""
        sample = state.prompts.end_prefill(request, now=now)
        self._prompts.record_first_event(state, sample, now=now)

    def _describe_prompt(self, admitted: AdmittedRequest, *, now: float) -> PromptRequest:
        tokens, shared = admitted.caller.prompt_tokens, admitted.shared_tokens
        known = bool(self._view.prompts.holders(admitted.affinity, now=now))
        cached_share = 1.0 if known else self._prompts.rates.cached_share(admitted.service.name)
        return PromptRequest(
            service=admitted.service.name,
            tokens=tokens,
            uncached_tokens=max(0, tokens - int(shared * cached_share)),
            new_tokens=0 if known else tokens,
            target_s=admitted.route.target_latency_s,
            capacity_tokens=admitted.service.kv_capacity_tokens,
            config_version=admitted.config_version,
            shared_tokens=shared,
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
            slot_duration_s=health.stream_duration_s * state.work.drift(now=now),
        )

    def _region_allowed(self, admitted: AdmittedRequest, state: ServerState) -> bool:
        return (
            not admitted.regions or self._regions.get(state.entry.data_centre) in admitted.regions
        )


def _return_at(state: ServerState, jitter: float) -> float:
    return return_at(paused_until=state.paused_until, jitter=jitter)


def _exclude_paused(
    servers: Sequence[ServerState], *, jitter: float, now: float
) -> list[ServerState]:
    """Return the servers that asked for no pause, or whose pause has ended.

    The requests of all routers return gradually to a server after its pause, unless no other server
    is left.
    """
    returned = [state for state in servers if _return_at(state, jitter) <= now]
    return returned or [state for state in servers if state.paused_until <= now]
