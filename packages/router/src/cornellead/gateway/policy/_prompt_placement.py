"""Servers that a prompt should avoid: those with much pending prefill or too little memory."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.gateway.view import PrefillRates

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cornellead.gateway.view import PrefillSample
    from cornellead.gateway.view import ServerState

MAX_PREFILL_SHARE = 0.9
"""Part of the target for the first event that prefill may take; the rest is for the network, the
slot and the tokens of the first event."""
LONG_PREFILL_TOKENS = 4000
"""Uncached tokens from which a prompt counts as long: some tens of milliseconds of prefill."""
MAX_MOVED_TOKENS = 1024
"""Shared tokens up to which a prompt avoids pending prefill: other servers have to prefill them
again, which delays the requests there. With 20 and 38 routers, moves of longer parts raised the
repeated prefill by half and by a sixth in a burst, and made all kinds later."""
MAX_BUSY_SHARE = 0.5
"""Part of a server's slots up to which its first tokens are taken to wait for prefill; with more
requests, they wait for the decoding of others and for slots."""
MEAN_TOKENS_WEIGHT = 0.05
"""Weight of the latest prompt in the mean of the service."""
PRIOR_REQUESTS = 4
"""Weight of the service's mean among the own requests at a server, in requests."""


class PromptRequest(NamedTuple):
    """Properties of a request that decide where its prompt fits."""

    service: str
    tokens: int
    """Tokens of the prompt."""
    uncached_tokens: int
    """Tokens that are expected to be prefilled: the shared part of a prompt that this router has
    sent before is in a cache, that of another one may be."""
    new_tokens: int
    """Tokens if this router has not sent the shared part before, otherwise 0."""
    target_s: float
    """Target for the time to the first event."""
    capacity_tokens: int
    """Memory of each server; 0 if unknown."""
    config_version: int
    shared_tokens: int = 0
    """Tokens of the part that other requests share; its home may have them cached."""


class PromptPlacement:
    """Estimates the prefill before a request's first token, and the memory in use, by server.

    The estimate takes effect once the prefill rate of a service is known from its first events.
    """

    def __init__(self) -> None:
        self.rates = PrefillRates()
        self._targets_s: dict[str, tuple[int, float]] = {}
        self._mean_tokens: dict[str, float] = {}

    def record_request(self, req: PromptRequest) -> None:
        """Record a request that is sent, for the mean prompt and the shortest target."""
        mean = self._mean_tokens.get(req.service, float(req.tokens))
        self._mean_tokens[req.service] = mean + MEAN_TOKENS_WEIGHT * (req.tokens - mean)
        version, target_s = self._targets_s.get(req.service, (-1, 0.0))
        if version != req.config_version or req.target_s < target_s:
            self._targets_s[req.service] = (req.config_version, req.target_s)

    def record_first_event(
        self, state: ServerState, sample: PrefillSample | None, *, now: float
    ) -> None:
        """Learn the prefill rate of a service from the first event of a request.

        A server in which many requests run or wait is slow for other reasons.
        """
        load = state.reported_load(now=now)
        busy = load is not None and load > MAX_BUSY_SHARE * max(1, state.entry.slots)
        if sample is not None and not busy:
            self.rates.record(state.entry.service, sample, factor=state.work.value(now=now))

    def find_late(
        self,
        req: PromptRequest,
        servers: Sequence[ServerState],
        loads: Mapping[str, float],
        *,
        now: float,
    ) -> frozenset[str]:
        """Return the servers at which pending prefill delays first tokens too much.

        A short prompt avoids a server where it would miss its own target. A prompt with much
        uncached prefill avoids one where, together with what is pending, it would make the request
        with the shortest target miss it. A prompt with a long shared part goes to its home, since
        it would be prefilled again elsewhere. A server without pending prefill is never late: a
        prompt that is too long by itself is so everywhere. At a server without a free slot,
        requests wait for others to end and not for prefill.

        :param loads: Estimated requests at each server, by name.
        """
        if req.shared_tokens > MAX_MOVED_TOKENS:
            return frozenset()
        rate = self.rates.tokens_per_s(req.service)
        if rate is None or not any(state.prompts.has_pending for state in servers):
            return frozenset()
        _, shortest_s = self._targets_s.get(req.service, (0, req.target_s))
        long = req.uncached_tokens >= LONG_PREFILL_TOKENS
        limit_s = MAX_PREFILL_SHARE * (min(shortest_s, req.target_s) if long else req.target_s)
        late = set()
        for state in servers:
            slots = state.entry.slots
            if (
                not state.prompts.has_pending
                or 0 < MAX_BUSY_SHARE * slots <= loads[state.entry.server]
            ):
                continue
            name, own_rate = state.entry.server, rate / state.work.value(now=now)
            pending = state.prompts.pending_tokens(tokens_per_s=own_rate, now=now)
            if pending > 0 and (pending + req.uncached_tokens) / own_rate > limit_s:
                late.add(name)
        return frozenset(late)

    def find_full(
        self, req: PromptRequest, servers: Sequence[ServerState], loads: Mapping[str, float]
    ) -> frozenset[str]:
        """Return the servers whose memory is expected to be too full for the prompt.

        There it would wait, or a less urgent request would be preempted and prefilled again.
        Requests beyond the slots of a server wait and hold no memory.
        """
        mean = self._mean_tokens.get(req.service)
        if mean is None or not 0 < req.tokens <= req.capacity_tokens:
            return frozenset()
        full = set()
        for state in servers:
            prompts, slots = state.prompts, state.entry.slots
            load = loads[state.entry.server]
            running = min(load, slots) if slots > 0 else load
            held = prompts.held_tokens + PRIOR_REQUESTS * mean
            held *= running / (prompts.requests + PRIOR_REQUESTS)
            if held + req.tokens > req.capacity_tokens:
                full.add(state.entry.server)
        return frozenset(full)
