"""Loads that experiments play."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from cornellead_emulator.routing import Fleet
from cornellead_emulator.simulation import EventQueue
from cornellead_emulator.traffic import HotChat

EVENT_AT_S = 15.0
"""Time at which the event of a load begins: caches and beliefs are warm by then."""
EVENT_S = 10.0
"""Time for which it lasts."""
DRAIN_S = 2.0
"""Time from the announcement that a server leaves until it ends."""
RELEASE_GAP_S = 3.0
"""Time between two servers of a release."""


class Load(NamedTuple):
    """What callers, servers and operators do."""

    summary: str
    rate: Callable[[float], float]
    """Factor on the rate of requests at a time."""
    prepare: Callable[[Fleet, EventQueue], None]
    """Schedules what happens to servers."""
    hot: HotChat | None = None
    impatient_share: float = 0.0
    """Part of the callers that come back at once when refused."""
    changes: Mapping[str, object] = {}
    """Changes of the fleet's settings."""


def _steady(now: float) -> float:
    del now
    return 1.0


def _surge(factor: float) -> Callable[[float], float]:
    def rate(now: float) -> float:
        return factor if EVENT_AT_S <= now < EVENT_AT_S + EVENT_S else 1.0

    return rate


def _nothing(fleet: Fleet, queue: EventQueue) -> None:
    del fleet, queue


def _crash(fleet: Fleet, queue: EventQueue) -> None:
    queue.at(EVENT_AT_S, lambda: fleet.crash(fleet.servers[0]))
    queue.at(EVENT_AT_S + EVENT_S / 2, fleet.start_server)


def _release(fleet: Fleet, queue: EventQueue) -> None:
    def replace() -> None:
        fleet.start_server()
        fleet.drain(fleet.servers[0], after_s=DRAIN_S)

    for number in range(max(1, len(fleet.servers) // 2)):
        queue.at(EVENT_AT_S + number * RELEASE_GAP_S, replace)


def _return(fleet: Fleet, queue: EventQueue) -> None:
    queue.at(EVENT_AT_S, lambda: fleet.set_out("dc0", out=True))
    queue.at(EVENT_AT_S + EVENT_S, lambda: fleet.set_out("dc0", out=False))


HOT = HotChat("complaint-tag", 0.5, EVENT_AT_S, EVENT_AT_S + EVENT_S)

LOADS: Mapping[str, Load] = {
    "calm": Load("steady requests", _steady, _nothing),
    "surge": Load("1.7 times the requests for 10 s", _surge(1.7), _nothing),
    "overload": Load("12 times the requests for 10 s", _surge(12.0), _nothing),
    "impatient": Load(
        "overload, and a third of the callers come back at once",
        _surge(12.0),
        _nothing,
        impatient_share=0.33,
    ),
    "hot_chat": Load(
        "half of a class are one chat, at 4 times the rate", _surge(4.0), _nothing, HOT
    ),
    "crash": Load("a server is lost and replaced after 5 s", _steady, _crash),
    "release": Load("half of the servers are replaced, one after the other", _steady, _release),
    "return": Load("a data centre leaves for 10 s and comes back", _steady, _return),
    "unheard": Load(
        "hot_chat, and no router hears the load reports of another",
        _surge(4.0),
        _nothing,
        HOT,
        changes={"reports_heard": 0},
    ),
}
