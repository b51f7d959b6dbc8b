"""Routes that no request can match, and limits of routes that contradict each other."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from cornellead_core.config._finding import FindingKind
from cornellead_core.config._problem import Problem
from cornellead_core.routing import RequestKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornellead_core.routing import Bounds
    from cornellead_core.routing import Route
    from cornellead_core.routing import RoutingData
    from cornellead_core.routing import Team

MAX_NAMED = 5
"""Teams that one message names."""


def find_route_findings(
    data: RoutingData, bounds: Bounds | None
) -> Iterable[tuple[FindingKind, Problem]]:
    """Yield kind and problem of each finding.

    Paths are made of field names and indexes of `RoutingData`.

    :param bounds: Bounds of the deployment; without them, retries are not checked.
    """
    yield from _find_undefined(data)
    yield from _find_unmatched(data)
    for number, route in enumerate(data.routes):
        for field, message in (*_check_times(route), *_check_retries(route, bounds)):
            yield FindingKind.CONTRADICTION, Problem(("routes", str(number), field), message)
        if message := _check_regions(route, [item.team for item in data.teams]):
            path = ("routes", str(number), "regions")
            yield FindingKind.CONTRADICTION, Problem(path, message)


def _find_undefined(data: RoutingData) -> Iterable[tuple[FindingKind, Problem]]:
    names = [service.name for service in data.services]
    for number, route in enumerate(data.routes):
        for share in route.services:
            if share.service not in names:
                path = ("routes", str(number), "services")
                message = f"service {share.service} is not defined"
                yield FindingKind.ERROR, Problem(path, message, ", ".join(names))
    for name, count in Counter(names).items():
        if count > 1:
            path = ("services", str(names.index(name)), "name")
            message = f"service {name} is defined {count} times; the last one counts"
            yield FindingKind.UNREACHABLE, Problem(path, message)


def _find_unmatched(data: RoutingData) -> Iterable[tuple[FindingKind, Problem]]:
    last = {(route.host, route.path_prefix): n for n, route in enumerate(data.routes)}
    for number, route in enumerate(data.routes):
        for field, message in _check_match(route):
            yield FindingKind.UNREACHABLE, Problem(("routes", str(number), field), message)
        if (winner := last[route.host, route.path_prefix]) != number:
            path = ("routes", str(number), "path_prefix")
            message = f"routes.{winner} has the same host and prefix, and is used instead"
            yield FindingKind.UNREACHABLE, Problem(path, message)
    used = {share.service for route in data.routes for share in route.services if share.weight > 0}
    for number, service in enumerate(data.services):
        if service.name not in used:
            path = ("services", str(number), "name")
            yield FindingKind.UNREACHABLE, Problem(path, "no route leads to this service")
    owners = {key: n for n, item in enumerate(data.teams) for key in item.keys}
    for number, item in enumerate(data.teams):
        path = ("teams", str(number), "keys")
        if not item.keys:
            message = "a team without keys gets no requests"
            yield FindingKind.UNREACHABLE, Problem(path, message)
        elif winners := {owners[key] for key in item.keys} - {number}:
            message = f"teams.{min(winners)} has the same key, and gets its requests"
            yield FindingKind.UNREACHABLE, Problem(path, message)


def _check_match(route: Route) -> Iterable[tuple[str, str]]:
    if ":" in route.host:
        yield "host", "never matches: ports are removed from the host of a request"
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        yield "path_prefix", "never matches: a prefix has to begin and end with /"
    elif "?" in route.path_prefix or "#" in route.path_prefix:
        yield "path_prefix", "never matches: a path ends before ? and #"
    if not any(share.weight > 0 for share in route.services):
        yield "services", "no service has a weight above 0"


def _check_times(route: Route) -> Iterable[tuple[str, str]]:
    timeout_s = route.timeout_s
    if timeout_s < route.target_latency_s:
        yield "timeout_s", f"{timeout_s:g} s is under the target of {route.target_latency_s:g} s"
    if route.kind is RequestKind.STREAMING and timeout_s < route.target_gap_s:
        message = f"{timeout_s:g} s is under the wait of {route.target_gap_s:g} s between events"
        yield "timeout_s", message


def _check_retries(route: Route, bounds: Bounds | None) -> Iterable[tuple[str, str]]:
    retries = route.max_attempts - 1
    if not retries:
        return
    if not route.repeatable:
        yield "max_attempts", f"{route.max_attempts} has no effect: requests run at most once"
    elif bounds is not None and bounds.retry_ratio < retries and bounds.retry_minimum < retries:
        yield (
            "max_attempts",
            f"{retries} retries of a request exceed the retry budget: {bounds.retry_ratio:g} for "
            f"each request and {bounds.retry_minimum:g} in {bounds.retry_window_s:g} s",
        )


def _check_regions(route: Route, teams: list[Team]) -> str:
    if not route.regions or route.public:
        return ""
    names = [team.name for team in teams if team.regions and not team.regions & route.regions]
    if not names:
        return ""
    shown = ", ".join(names[:MAX_NAMED]) + (" and others" if len(names) > MAX_NAMED else "")
    return f"no region in common with the teams {shown}, whose requests cannot be served"
