"""Plays one load with one policy."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from cornellead_emulator.routing import ORDERS
from cornellead_emulator.routing import Fleet
from cornellead_emulator.routing import Tally
from cornellead_emulator.simulation import EventQueue
from cornellead_emulator.traffic import Arrivals

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead_emulator.experiments._loads import Load
    from cornellead_emulator.routing import FleetSettings
    from cornellead_emulator.traffic import RequestClass

WIND_DOWN_S = 15.0
"""Time after the last arrival in which requests end: the longest deadline of the users."""


class Result(NamedTuple):
    """Figures of one run."""

    load: str
    policy: str
    routers: int
    asked: int
    in_aim: float
    """Share of requests whose first token came in time."""
    finished: float
    """Share of requests that were served whole."""
    refused: float
    first_token_p50_ms: float
    first_token_p95_ms: float
    pause_p95_ms: float
    """Longest pause of a stream, for 95 in 100."""
    reread_per_request: float
    """Shared tokens read again."""
    fetched_per_request: float
    """Tokens copied from other servers."""
    over_bound: float
    """Share of requests that reached a server above the allowed load."""
    retries: int


def run_load(
    name: str,
    load: Load,
    *,
    policy: str,
    settings: FleetSettings,
    classes: Sequence[RequestClass],
    seconds: float,
    seed: int,
) -> Result:
    """Play a load; the same arguments give the same result.

    :param policy: Name of a placement order.
    :param seconds: Simulated time in which requests arrive.
    """
    queue, tally = EventQueue(), Tally()
    fleet = Fleet(
        settings=msgspec.structs.replace(settings, **load.changes),
        make_order=ORDERS[policy],
        queue=queue,
        tally=tally,
        rng=random.Random(f"{seed}/fleet"),
        impatient_share=load.impatient_share,
    )
    Arrivals(
        classes=classes,
        queue=queue,
        rng=random.Random(f"{seed}/callers"),
        rate=lambda now: load.rate(now) if now < seconds else 0.0,
        emit=fleet.submit,
        hot=load.hot,
    )
    load.prepare(fleet, queue)
    queue.run(until=seconds + WIND_DOWN_S)
    asked = max(1, tally.asked)
    return Result(
        load=name,
        policy=policy,
        routers=len(fleet.routers),
        asked=tally.asked,
        in_aim=tally.in_aim / asked,
        finished=tally.finished / asked,
        refused=tally.refused / asked,
        first_token_p50_ms=1000 * quantile(tally.first_token_s, 0.5),
        first_token_p95_ms=1000 * quantile(tally.first_token_s, 0.95),
        pause_p95_ms=1000 * quantile(tally.pauses_s, 0.95),
        reread_per_request=tally.reread_tokens / asked,
        fetched_per_request=tally.fetched_tokens / asked,
        over_bound=tally.over_bound / max(1, tally.arrivals),
        retries=tally.retries,
    )


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies; 0 without any.

    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
