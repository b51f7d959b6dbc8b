"""Decision whether a request may run on this server."""

from __future__ import annotations

import math
from typing import NamedTuple

from cornellead_core.load import BATCH_SHARE
from cornellead_core.load import DEFAULT_MARGIN
from cornellead_core.load import ServerState
from cornellead_core.load import admission_limit
from cornellead_core.outcomes import Refusal
from cornellead_core.outcomes import RefusalReason

RETRY_OVER_BOUND_S = 0.1
"""Suggested wait after a refusal for load: one exchange interval."""
PROGRESS_AGE_S = 0.5
"""Age of the estimate from which the least loaded server may admit up to the last known mean."""
RETRY_STALE_S = 0.05


class AdmissionRequest(NamedTuple):
    """What the decision needs to know of a request."""

    batch: bool = False
    fallback: bool = False
    adopt: bool = False
    returning: bool = False
    deadline_at: float | None = None
    """Monotonic time, in seconds."""
    config_offset: int = -1
    """Offset of the configuration in force at the router."""


class AdmissionView(NamedTuple):
    """State of the agent at the time of the decision."""

    state: ServerState
    config_offset: int
    in_flight: int
    bound: float | None
    """Multiple of the mean load, or ``None`` for a plain service."""
    rho: float
    """Mean load per unit of capacity, including the request to decide on."""
    capacity: int
    cold_limit: int
    stale_rho: float = 0.0
    """Mean load per unit of capacity at the time of the summaries, without the request."""
    estimate_age_s: float = 0.0
    """Age of the oldest summary."""
    hint: str = ""
    """Server that has the chat's cache, when this one has not."""
    holder: str = ""
    """This server, when it has the chat's cache."""
    no_cache: bool = False
    """Whether a returning chat has no cache here during the join grace."""


def decide_admission(
    request: AdmissionRequest, view: AdmissionView, *, now: float
) -> Refusal | None:
    """Return why a request is refused, or ``None`` to admit it.

    >>> view = AdmissionView(ServerState.SERVING, 3, 9, 1.25, 0.5, 16, 16)
    >>> decide_admission(AdmissionRequest(), view, now=0.0)
    >>> decide_admission(AdmissionRequest(), view._replace(in_flight=10), now=0.0).reason.value
    'over_bound'
    """
    refusal = _refuse_by_state(request, view, now=now)
    if refusal is not None:
        return refusal
    if view.hint and not request.adopt:
        return Refusal(RefusalReason.MOVED, "the chat's cache is on another server", view.hint)
    if view.no_cache and request.returning and not request.adopt:
        return Refusal(RefusalReason.NO_CACHE, "this server joined recently; try the next one")
    return _refuse_by_load(request, view)


def bound_limit(
    *, bound: float | None, capacity: int, rho: float, fallback: bool, margin: float
) -> int:
    """Return the limit from the load bound and the hard capacity, in requests.

    :param bound: Multiple of the mean load, or ``None`` for a plain service.
    """
    if bound is None:
        return capacity
    multiple = bound if fallback else bound * margin
    return min(capacity, admission_limit(multiple=multiple, capacity=capacity, rho=rho))


def _refuse_by_state(
    request: AdmissionRequest, view: AdmissionView, *, now: float
) -> Refusal | None:
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
            retry_after_s=RETRY_STALE_S,
        )
    if request.deadline_at is not None and now >= request.deadline_at:
        return Refusal(RefusalReason.DEADLINE, "the deadline passed before the request could run")
    return None


def _refuse_by_load(request: AdmissionRequest, view: AdmissionView) -> Refusal | None:
    limit = bound_limit(
        bound=view.bound,
        capacity=view.capacity,
        rho=view.rho,
        fallback=request.fallback,
        margin=DEFAULT_MARGIN,
    )
    if request.fallback and view.bound is not None and view.estimate_age_s > PROGRESS_AGE_S:
        # Old summaries make the estimate so low that no server could admit. A server that holds no
        # more than the last known mean breaks the bound only if the mean fell by a fifth since.
        limit = max(limit, min(view.capacity, math.floor(view.capacity * view.stale_rho) + 1))
    reason = RefusalReason.OVER_BOUND
    if view.cold_limit < limit:
        limit, reason = view.cold_limit, RefusalReason.COLD
    if request.batch:
        limit = max(1, int(BATCH_SHARE * limit))
    if view.in_flight + 1 <= limit:
        return None
    message = f"{view.in_flight} requests in progress, limit {limit}; use another server"
    return Refusal(reason, message, hint=view.holder, retry_after_s=RETRY_OVER_BOUND_S)
