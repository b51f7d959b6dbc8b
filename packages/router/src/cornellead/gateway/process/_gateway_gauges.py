"""Gauges of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.gateway.exchange import LoadExchange
from cornellead.gateway.forwarding import PlaceWaiter
from cornellead.gateway.ingress import CallerListener
from cornellead.gateway.ingress import ServingState
from cornellead.gateway.relay import RelayedStore
from cornellead.gateway.view import FleetView
from cornellead_core.buffers import BufferBudget
from cornellead_core.pacing import ReadPacer

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.metrics import Metrics


class GaugeSources(NamedTuple):
    """Components whose state the gauges show."""

    view: FleetView
    serving: ServingState
    store: RelayedStore
    pacer: ReadPacer
    callers: CallerListener
    budget: BufferBudget
    exchange: LoadExchange
    places: PlaceWaiter


def register_gauges(metrics: Metrics, sources: GaugeSources, *, clock: Callable[[], float]) -> None:
    """Create the gauges, which are read when metrics are rendered.

    :param clock: Returns seconds.
    """
    view = sources.view
    gauges: dict[str, tuple[str, Callable[[], float]]] = {
        "routers": ("Running routers", lambda: len(view.routers(now=clock()))),
        "servers": ("Listed servers", lambda: len(view.servers)),
        "requests_in_progress": ("Requests", lambda: sources.serving.in_progress),
        "config_version": (
            "Configuration in force",
            lambda: view.config.version if view.config else 0,
        ),
        "store_era": (
            "Latest era of the store that was met, -1 if it names none",
            lambda: view.history.era,
        ),
        "config_age_seconds": (
            "Time since the store confirmed the configuration",
            lambda: view.config_age_s(now=clock()),
        ),
        "relayed_reads": ("Reads answered by other routers", lambda: sources.store.relayed),
        "throttled_reads": (
            "Times that a connection waited since its peer had used its share of a turn",
            lambda: sources.pacer.throttled,
        ),
        "caller_connections": (
            "Open connections of callers",
            lambda: sources.callers.connections,
        ),
        "refused_connections": (
            "Connections of callers that were closed at once, since a bound was reached",
            lambda: sources.callers.refused_connections,
        ),
        "unread_connections_closed": (
            "Connections that were closed since their callers read nothing",
            lambda: sources.serving.unread,
        ),
        "caller_bytes": (
            "What is held for callers: requests and unread responses",
            lambda: sources.budget.used_bytes + sources.budget.pinned_bytes,
        ),
        "caller_bytes_dropped": (
            "Times that a caller had to give way since all of them held too much",
            lambda: sources.budget.dropped + sources.budget.refused,
        ),
        "queued_requests": (
            "Requests that wait in the router for a place",
            lambda: sources.places.held,
        ),
        "load_report_bytes": ("Bytes of load reports", lambda: sources.exchange.bytes_sent),
    }
    for name, (description, read_value) in gauges.items():
        metrics.gauge(f"gateway_{name}", description).set_function(read_value)
