"""Resolution of templates and their parameters to the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cornellead_core.config._checks import REFERENCE_PATTERN
from cornellead_core.config._checks import check_spec
from cornellead_core.config._checks import find_references
from cornellead_core.config._fleet_config import FleetConfig
from cornellead_core.config._fleet_config import Priority
from cornellead_core.config._fleet_config import ServerConfig
from cornellead_core.config._fleet_config import ServicePolicy
from cornellead_core.config._fleet_config import TeamPolicy
from cornellead_core.config._problem import Problem
from cornellead_core.load import DEFAULT_BOUND
from cornellead_core.settings import parse_duration

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornellead_core.config._config_state import ConfigState

DEFAULT_KEY_VALIDITY = "1h"


def resolve_spec(team: Mapping[str, Any], template: Mapping[str, Any]) -> dict[str, Any]:
    """Return the spec of a template with its parameters replaced by the values of a team.

    >>> template = {"parameters": {"bound": 1.5}, "spec": {"load_bound": "${bound}"}}
    >>> resolve_spec({"parameters": {"bound": 1.2}}, template)
    {'load_bound': 1.2}
    """
    values = {**template.get("parameters", {}), **team.get("parameters", {})}
    resolved: dict[str, Any] = _substitute(template["spec"], values)
    return resolved


def check_team(
    team: Mapping[str, Any], template: Mapping[str, Any], models: frozenset[str]
) -> list[Problem]:
    """Check the parameters of a team and the spec that they resolve to.

    :param models: Names of the existing model objects.
    """
    declared = template.get("parameters", {})
    assigned = team.get("parameters", {})
    help_text = ", ".join(sorted(declared)) or "no parameters"
    problems = [
        Problem(("parameters", name), "the template has no such parameter", help_text)
        for name in sorted(assigned)
        if name not in declared
    ]
    values = {**declared, **assigned}
    for name in sorted({name for name, _ in find_references(template["spec"], ())}):
        if values.get(name) is None:
            problems.append(Problem(("parameters", name), "the template needs this parameter"))
    if problems:
        return problems
    spec = _substitute(template["spec"], values)
    # A value such as "{x}" that follows a "$" in the template forms a new reference.
    problems = [
        Problem(("spec", *path), f"parameter {name!r} is left after resolution")
        for name, path in find_references(spec, ())
    ] or check_spec(spec)
    if problems:
        return problems
    accepted_models = ", ".join(sorted(models)) or "none; publish a model object first"
    return [
        Problem(("spec", "models"), f"model {name} does not exist", accepted_models)
        for name in spec.get("models", [])
        if name not in models
    ]


def resolve_team(name: str, team: Mapping[str, Any], template: Mapping[str, Any]) -> TeamPolicy:
    """Build the policy of a team whose objects have passed `check_team`."""
    spec = resolve_spec(team, template)
    priorities = spec.get("priorities", {})
    allowed = frozenset(map(Priority, priorities.get("allowed", list(Priority))))
    default = priorities.get("default")
    tokens = team["token_sha256"]
    return TeamPolicy(
        name=name,
        models=frozenset(spec.get("models", [])),
        token_digests=frozenset(tokens if isinstance(tokens, list) else [tokens]),
        default_priority=_choose_default_priority(default, allowed),
        allowed_priorities=allowed,
        requests_per_s=float(spec["limits"]["requests_per_second"]),
        concurrent_requests=int(spec["limits"]["concurrent_requests"]),
        load_bound=float(spec.get("load_bound", DEFAULT_BOUND)),
        services={
            service: ServicePolicy(
                idempotent=frozenset(operations.get("idempotent", [])),
                at_most_once=frozenset(operations.get("at_most_once", [])),
            )
            for service, operations in spec.get("services", {}).items()
        },
        key_validity_s=parse_duration(spec.get("key_validity", DEFAULT_KEY_VALIDITY)) or 0.0,
    )


class Resolver:
    """Resolves states to the configuration in force.

    Policies are cached by the versions of the team and its template, so that a change resolves only
    the teams that it affects.
    """

    def __init__(self) -> None:
        self._cached_teams: dict[str, tuple[tuple[int, int], TeamPolicy]] = {}

    def resolve(self, state: ConfigState) -> FleetConfig:
        """Build the configuration of a state, whose objects must be valid."""
        teams: dict[str, tuple[tuple[int, int], TeamPolicy]] = {}
        servers, models, out_of_service = {}, [], []
        for key, item in state.objects.items():
            kind, _, name = key.partition("/")
            if item.value is None:
                continue
            if kind == "team":
                template = state.objects[f"template/{item.value['template']}"]
                versions = (item.version, template.version)
                cached = self._cached_teams.get(name)
                if cached is None or cached[0] != versions:
                    assert template.value is not None
                    cached = (versions, resolve_team(name, item.value, template.value))
                teams[name] = cached
            elif kind == "server":
                servers[name] = _resolve_server(item.value)
            elif kind == "model":
                models.append(name)
            elif kind == "data_centre" and item.value["state"] == "out":
                out_of_service.append(name)
        self._cached_teams = teams
        policies = {name: policy for name, (_, policy) in sorted(teams.items())}
        return FleetConfig(
            offset=state.offset,
            teams=policies,
            teams_by_token={
                digest: policy for policy in policies.values() for digest in policy.token_digests
            },
            out_of_service=frozenset(out_of_service),
            servers=servers,
            models=frozenset(models),
        )


def _resolve_server(value: Mapping[str, Any]) -> ServerConfig:
    models = value.get("models")
    return ServerConfig(
        draining=value.get("state") == "draining",
        models=None if models is None else tuple(models),
        adapters=tuple(value.get("adapters", [])),
        version=value.get("version", ""),
        role=value.get("role", ""),
    )


def _choose_default_priority(value: str | None, allowed: frozenset[Priority]) -> Priority:
    if value is not None:
        return Priority(value)
    return Priority.INTERACTIVE if Priority.INTERACTIVE in allowed else Priority.BATCH


def _substitute(value: Any, values: Mapping[str, Any]) -> Any:
    if isinstance(value, str):
        full_match = REFERENCE_PATTERN.fullmatch(value)
        if full_match is not None:
            return values[full_match[1]]
        return REFERENCE_PATTERN.sub(lambda match: str(values[match[1]]), value)
    if isinstance(value, dict):
        return {key: _substitute(child, values) for key, child in value.items()}
    if isinstance(value, list):
        return [_substitute(child, values) for child in value]
    return value
