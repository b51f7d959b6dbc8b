"""Runs one experiment: a load with a placement policy."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from cornellead_emulator.routing import ORDER_FACTORIES
from cornellead_emulator.routing import ExperimentMetrics
from cornellead_emulator.routing import Fleet
from cornellead_emulator.simulation import EventQueue
from cornellead_emulator.traffic import Arrivals

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead_emulator.experiments._loads import LoadScenario
    from cornellead_emulator.routing import FleetSettings
    from cornellead_emulator.traffic import RequestClass

WIND_DOWN_S = 15.0
"""Time after the last arrival for requests to end: the longest deadline in `USERS_CLASSES`."""


class Result(NamedTuple):
    """Results of one run; the field names are the columns of the CSV table."""

    load: str
    policy: str
    routers: int
    asked: int
    """Number of requests, not counting the retries of their callers."""
    in_aim: float
    """Fraction of requests whose time to first token was within the latency target."""
    finished: float
    """Fraction of requests that were served completely."""
    refused: float
    """Fraction of requests whose callers gave up after a refusal."""
    first_token_p50_ms: float
    first_token_p95_ms: float
    pause_p95_ms: float
    """95th percentile of the longest pauses of the streams."""
    reread_per_request: float
    """Shared tokens prefilled again although they had been in use recently."""
    fetched_per_request: float
    """Shared tokens copied from another server."""
    over_bound: float
    """Fraction of arrivals at a server whose load was above the bound."""
    retries: int
    """Retries by routers because a server no longer ran or rejected the request."""
    late_by_class: Mapping[str, float] = {}
    """Fraction of the requests of each class without a first token within the latency target."""
    first_token_by_length: Mapping[int, float] = {}
    """95th percentile of the time to first token in ms, by the power of two that the tokens of the
    prompt reach."""


def run_load(
    name: str,
    load: LoadScenario,
    *,
    policy: str,
    settings: FleetSettings,
    classes: Sequence[RequestClass],
    seconds: float,
    seed: int,
) -> Result:
    """Run a load; the same arguments give the same result.

    :param name: Name of the load for the result.
    :param policy: Name of a placement order.
    :param seconds: Simulated time during which requests arrive.
    """
    queue, metrics = EventQueue(), ExperimentMetrics()
    fleet = Fleet(
        settings=msgspec.structs.replace(settings, **load.setting_overrides),
        make_order=ORDER_FACTORIES[policy],
        queue=queue,
        metrics=metrics,
        rng=random.Random(f"{seed}/fleet"),
        impatient_share=load.impatient_share,
    )
    Arrivals(
        classes=load.classes or classes,
        queue=queue,
        rng=random.Random(f"{seed}/callers"),
        rate_factor=lambda now: load.rate_factor(now) if now < seconds else 0.0,
        on_request=fleet.submit,
        hot_chat=load.hot_chat,
    )
    load.schedule_events(fleet, queue)
    queue.run(until=seconds + WIND_DOWN_S)
    request_count = max(1, metrics.submitted)
    return Result(
        load=name,
        policy=policy,
        routers=len(fleet.routers),
        asked=metrics.submitted,
        in_aim=metrics.within_target / request_count,
        finished=metrics.finished / request_count,
        refused=metrics.refused / request_count,
        first_token_p50_ms=1000 * quantile(metrics.first_token_s, 0.5),
        first_token_p95_ms=1000 * quantile(metrics.first_token_s, 0.95),
        pause_p95_ms=1000 * quantile(metrics.max_pauses_s, 0.95),
        reread_per_request=metrics.reread_tokens / request_count,
        fetched_per_request=metrics.fetched_tokens / request_count,
        over_bound=metrics.over_bound / max(1, metrics.arrivals),
        retries=metrics.retries,
        late_by_class={
            name: 1.0 - metrics.within_target_by_class[name] / count
            for name, count in metrics.submitted_by_class.items()
        },
        first_token_by_length={
            length: 1000 * quantile(times, 0.95)
            for length, times in sorted(metrics.first_token_by_length.items())
        },
    )


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies; 0 if there are no values.

    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
