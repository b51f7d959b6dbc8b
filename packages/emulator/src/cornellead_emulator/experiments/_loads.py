"""Load scenarios of the experiments, by name."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from cornellead_emulator.routing import Fleet
from cornellead_emulator.servers import ModelServerSettings
from cornellead_emulator.simulation import EventQueue
from cornellead_emulator.traffic import CONTENDED_CLASSES
from cornellead_emulator.traffic import HotChat
from cornellead_emulator.traffic import RequestClass

EVENT_START_S = 15.0
"""Start of the surge or failure of a scenario.

By then, caches are warm and routers have load reports.
"""
EVENT_DURATION_S = 10.0
"""Duration of the surge or failure; a crashed server is replaced after half of it."""
DRAIN_DURATION_S = 2.0
"""Time from the announcement that a server is leaving until it stops."""
RELEASE_INTERVAL_S = 3.0
"""Time between the replacements of two servers during a release."""

ROLLOUT_START_S = 5.0
"""Time of the order of a rollout: its duration fits into an experiment then."""
ROLLOUT_DURATION_S = 20.0


class LoadScenario(NamedTuple):
    """Behaviour of the callers, servers and operators during an experiment."""

    summary: str
    rate_factor: Callable[[float], float]
    """Returns the factor by which the request rate is multiplied at a time in seconds."""
    schedule_events: Callable[[Fleet, EventQueue], None]
    """Schedules crashes, releases and outages of servers."""
    hot_chat: HotChat | None = None
    impatient_share: float = 0.0
    """Fraction of the callers that retry at once when refused."""
    setting_overrides: Mapping[str, object] = {}
    """Fleet settings that differ from the defaults."""
    classes: Sequence[RequestClass] | None = None
    """Classes of requests that replace those of the settings, if any."""


def _steady_rate(now: float) -> float:
    del now
    return 1.0


def _surge_rate(factor: float) -> Callable[[float], float]:
    def rate_factor(now: float) -> float:
        return factor if EVENT_START_S <= now < EVENT_START_S + EVENT_DURATION_S else 1.0

    return rate_factor


def _burst_rate(now: float) -> float:
    return 2.5 if now % BURST_INTERVAL_S >= BURST_INTERVAL_S - BURST_DURATION_S else 1.0


def _no_events(fleet: Fleet, queue: EventQueue) -> None:
    del fleet, queue


def _schedule_crash(fleet: Fleet, queue: EventQueue) -> None:
    queue.schedule_at(EVENT_START_S, lambda: fleet.crash(fleet.servers[0]))
    queue.schedule_at(EVENT_START_S + EVENT_DURATION_S / 2, fleet.start_server)


def _schedule_release(fleet: Fleet, queue: EventQueue) -> None:
    def replace() -> None:
        fleet.start_server()
        fleet.drain(fleet.servers[0], after_s=DRAIN_DURATION_S)

    for number in range(max(1, len(fleet.servers) // 2)):
        queue.schedule_at(EVENT_START_S + number * RELEASE_INTERVAL_S, replace)


def _schedule_outage(fleet: Fleet, queue: EventQueue) -> None:
    queue.schedule_at(EVENT_START_S, lambda: fleet.set_out_of_service("dc0", out=True))
    queue.schedule_at(
        EVENT_START_S + EVENT_DURATION_S, lambda: fleet.set_out_of_service("dc0", out=False)
    )


def _schedule_rollout(slowness: float) -> Callable[[Fleet, EventQueue], None]:
    def schedule(fleet: Fleet, queue: EventQueue) -> None:
        def begin() -> None:
            for _ in range(len(fleet.servers)):
                fleet.start_server(version="v2", slowness=slowness)
            fleet.order_rollout(to="v2", duration_s=ROLLOUT_DURATION_S)

        queue.schedule_at(ROLLOUT_START_S, begin)

    return schedule


HOT_COMPLAINT_CHAT = HotChat("complaint-tag", 0.5, EVENT_START_S, EVENT_START_S + EVENT_DURATION_S)

UNEVEN_SPEEDS: Mapping[str, object] = {
    "work_factors": (1.0, 1.3, 1.0, 2.5, 1.0, 1.0),
    "server": ModelServerSettings(work_jitter=0.2),
    "reports_work": True,
    "swing": 0.5,
}

CONTENDED_SERVER = ModelServerSettings(
    memory_tokens=597_526, step_ms=2.97, prefill_tokens_per_ms=101.0, tokens_per_event=10
)
BURST_INTERVAL_S = 12.0
BURST_DURATION_S = 6.0

LOADS: Mapping[str, LoadScenario] = {
    "calm": LoadScenario("constant request rate", _steady_rate, _no_events),
    "surge": LoadScenario("1.7 times the request rate for 10 s", _surge_rate(1.7), _no_events),
    "overload": LoadScenario("12 times the request rate for 10 s", _surge_rate(12.0), _no_events),
    "impatient": LoadScenario(
        "overload in which a third of the callers retry at once",
        _surge_rate(12.0),
        _no_events,
        impatient_share=0.33,
    ),
    "hot_chat": LoadScenario(
        "4 times the request rate, and half of the requests of a class belong to one chat",
        _surge_rate(4.0),
        _no_events,
        HOT_COMPLAINT_CHAT,
    ),
    "crash": LoadScenario(
        "a server crashes and is replaced after 5 s", _steady_rate, _schedule_crash
    ),
    "release": LoadScenario(
        "rolling release that replaces half of the servers", _steady_rate, _schedule_release
    ),
    "return": LoadScenario(
        "a data centre is out of service for 10 s", _steady_rate, _schedule_outage
    ),
    "bad_version": LoadScenario(
        "a rollout to servers that are four times slower", _steady_rate, _schedule_rollout(4.0)
    ),
    "uneven": LoadScenario(
        "6 times the request rate, swinging between data centres, before uneven servers",
        _surge_rate(6.0),
        _no_events,
        setting_overrides=UNEVEN_SPEEDS,
    ),
    "long_prompts": LoadScenario(
        "long prompts new to the fleet before short ones, in bursts of 2.5 times the rate",
        _burst_rate,
        _no_events,
        setting_overrides={"servers": 22, "server": CONTENDED_SERVER},
        classes=CONTENDED_CLASSES,
    ),
    "unheard": LoadScenario(
        "hot_chat without load reports between the routers",
        _surge_rate(4.0),
        _no_events,
        HOT_COMPLAINT_CHAT,
        setting_overrides={"reports_heard": 0},
    ),
}
