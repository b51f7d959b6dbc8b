"""Entries of valid objects that no request can ever use."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

from cornellead_core.config._checks import find_references
from cornellead_core.config._problem import Problem
from cornellead_core.config._resolver import resolve_spec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    Objects = Mapping[str, Mapping[str, Any]]


def find_unreachable_entries(objects: Objects) -> Iterable[tuple[str, Problem]]:
    """Yield object name and problem for each entry that has no effect.

    :param objects: Values of all objects that will be in force, by name; they must be valid.
    """
    teams = _of_kind(objects, "team")
    templates = _of_kind(objects, "template")
    specs = {name: resolve_spec(team, templates[team["template"]]) for name, team in teams.items()}
    usable = {model for spec in specs.values() for model in spec.get("models", [])}
    for name in templates:
        if not any(team["template"] == name for team in teams.values()):
            yield f"template/{name}", Problem((), "no team uses this template")
        yield from _check_parameters(name, templates[name])
    for name in _of_kind(objects, "model"):
        if name not in usable:
            yield f"model/{name}", Problem((), "no team may use this model")
    for name, team in teams.items():
        yield from _check_team(name, team, specs[name])
    for name, server in _of_kind(objects, "server").items():
        models = server.get("models")
        if models is not None and not usable.intersection(models):
            message = "no team may use a model of this server, so it gets no requests"
            yield f"server/{name}", Problem(("models",), message, ", ".join(sorted(usable)))
    data_centres = _of_kind(objects, "data_centre")
    if data_centres and all(value["state"] == "out" for value in data_centres.values()):
        for name in data_centres:
            message = "all data centres are out, so no request is served"
            yield f"data_centre/{name}", Problem(("state",), message, "in")


def _of_kind(objects: Objects, kind: str) -> dict[str, Mapping[str, Any]]:
    prefix = f"{kind}/"
    return {
        name.removeprefix(prefix): value
        for name, value in sorted(objects.items())
        if name.startswith(prefix)
    }


def _check_parameters(name: str, template: Mapping[str, Any]) -> Iterable[tuple[str, Problem]]:
    used = {parameter for parameter, _ in find_references(template["spec"], ())}
    for parameter in template.get("parameters", {}):
        if parameter not in used:
            problem = Problem(("parameters", parameter), "the spec does not use this parameter")
            yield f"template/{name}", problem


def _check_team(
    name: str, team: Mapping[str, Any], spec: Mapping[str, Any]
) -> Iterable[tuple[str, Problem]]:
    tokens = team["token_sha256"]
    for path, items in [
        (("token_sha256",), tokens if isinstance(tokens, list) else []),
        (("template", "models"), spec.get("models", [])),
        (("template", "priorities", "allowed"), spec.get("priorities", {}).get("allowed", [])),
    ]:
        for item, number in Counter(items).items():
            if number > 1:
                label = "a digest" if path == ("token_sha256",) else item
                yield f"team/{name}", Problem(path, f"{label} is listed {number} times")
    operations = [item for item in spec.get("services", {}).values() if any(item.values())]
    if not spec.get("models") and not operations:
        message = "the template gives this team neither a model nor an operation of a service"
        yield f"team/{name}", Problem(("template",), message)
