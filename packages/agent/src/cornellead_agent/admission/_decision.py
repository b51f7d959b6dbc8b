"""Admission decision for one request, as a pure function of the agent's state."""

from __future__ import annotations

import math
from typing import NamedTuple

from cornellead_core.load import BATCH_SHARE
from cornellead_core.load import DEFAULT_MARGIN
from cornellead_core.load import ServerState
from cornellead_core.load import admission_limit
from cornellead_core.outcomes import Refusal
from cornellead_core.outcomes import RefusalReason

OVER_BOUND_RETRY_AFTER_S = 0.1
"""Retry-After of a refusal for load: one interval of the load exchange."""
STALE_ESTIMATE_AGE_S = 0.5
"""Age of the load estimate above which a fallback request may use the last known mean load."""
STALE_CONFIG_RETRY_AFTER_S = 0.05


class AdmissionRequest(NamedTuple):
    """Properties of a request that affect its admission."""

    batch: bool = False
    """Whether the request has batch priority."""
    fallback: bool = False
    """Whether this is the router's last attempt, sent to the least loaded server."""
    adopt: bool = False
    """Whether to run the request here even if the chat's cache is on another server."""
    returning: bool = False
    """Whether the request continues an earlier chat."""
    deadline_at: float | None = None
    """Monotonic time, in seconds."""
    config_offset: int = -1
    """Offset of the configuration that the router uses."""


class AdmissionView(NamedTuple):
    """Snapshot of the agent's state for one decision."""

    state: ServerState
    config_offset: int
    in_flight: int
    bound: float | None
    """Load limit as a multiple of the mean load, or ``None`` for a service without load bound."""
    rho: float
    """Mean load per unit of capacity, including the request to decide on."""
    capacity: int
    cold_limit: int
    stale_rho: float = 0.0
    """Mean load per unit of capacity when the load summaries were made, without the request."""
    estimate_age_s: float = 0.0
    """Age of the oldest load summary."""
    hint: str = ""
    """Another server that holds the chat's cache, if this one does not."""
    holder: str = ""
    """Name of this server if it holds the chat's cache; a refusal for load has it as hint."""
    no_cache: bool = False
    """Whether this server joined recently and has no cache for the returning chat."""


def decide_admission(
    request: AdmissionRequest, view: AdmissionView, *, now: float
) -> Refusal | None:
    """Return the refusal of a request, or ``None`` to admit it.

    >>> view = AdmissionView(ServerState.SERVING, 3, 9, 1.25, 0.5, 16, 16)
    >>> decide_admission(AdmissionRequest(), view, now=0.0)
    >>> decide_admission(AdmissionRequest(), view._replace(in_flight=10), now=0.0).reason.value
    'over_bound'
    """
    refusal = _check_state(request, view, now=now)
    if refusal is not None:
        return refusal
    if view.hint and not request.adopt:
        return Refusal(RefusalReason.MOVED, "the chat's cache is on another server", view.hint)
    if view.no_cache and request.returning and not request.adopt:
        return Refusal(RefusalReason.NO_CACHE, "this server joined recently; try the next one")
    return _check_load(request, view)


def bound_limit(
    *, bound: float | None, capacity: int, rho: float, fallback: bool, margin: float
) -> int:
    """Return the concurrency limit that follows from the load bound and the server's capacity.

    :param bound: Multiple of the mean load, or ``None`` for a service without load bound.
    :param fallback: Whether to apply the full bound instead of the bound less its margin.
    :param margin: Factor that keeps the limit for normal requests below the bound.
    """
    if bound is None:
        return capacity
    multiple = bound if fallback else bound * margin
    return min(capacity, admission_limit(multiple=multiple, capacity=capacity, rho=rho))


def _check_state(request: AdmissionRequest, view: AdmissionView, *, now: float) -> Refusal | None:
    if view.state is ServerState.DRAINING:
        return Refusal(RefusalReason.DRAINING, "the server is leaving; use another one")
    if view.state is ServerState.OUT_OF_SERVICE:
        return Refusal(RefusalReason.OUT_OF_SERVICE, "the data centre is out of service")
    if view.state is ServerState.DOWN:
        return Refusal(RefusalReason.SERVER_DOWN, "the server does not answer its agent")
    if request.config_offset > view.config_offset:
        return Refusal(
            RefusalReason.STALE_CONFIG,
            f"the agent reads configuration up to {request.config_offset}; try again",
            retry_after_s=STALE_CONFIG_RETRY_AFTER_S,
        )
    if request.deadline_at is not None and now >= request.deadline_at:
        return Refusal(RefusalReason.DEADLINE, "the deadline passed before the request could run")
    return None


def _check_load(request: AdmissionRequest, view: AdmissionView) -> Refusal | None:
    limit = bound_limit(
        bound=view.bound,
        capacity=view.capacity,
        rho=view.rho,
        fallback=request.fallback,
        margin=DEFAULT_MARGIN,
    )
    if request.fallback and view.bound is not None and view.estimate_age_s > STALE_ESTIMATE_AGE_S:
        # The estimate decays with the age of the summaries until every server would refuse. A
        # server at or below the last known mean load exceeds the bound only if the mean has
        # fallen by a fifth since then.
        limit = max(limit, min(view.capacity, math.floor(view.capacity * view.stale_rho) + 1))
    reason = RefusalReason.OVER_BOUND
    if view.cold_limit < limit:
        limit, reason = view.cold_limit, RefusalReason.COLD
    if request.batch:
        limit = max(1, int(BATCH_SHARE * limit))
    if view.in_flight + 1 <= limit:
        return None
    message = f"{view.in_flight} requests in progress, limit {limit}; use another server"
    return Refusal(reason, message, hint=view.holder, retry_after_s=OVER_BOUND_RETRY_AFTER_S)
