"""Resolution of templates, parameters and references."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cornellead_core.config._checks import REFERENCE
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
    """Return the spec of a template with the parameters of a team put in.

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
    """Check the parameters of a team and the spec that results from them.

    :param models: Names of the model objects.
    """
    declared = template.get("parameters", {})
    given = team.get("parameters", {})
    help_text = ", ".join(sorted(declared)) or "no parameters"
    problems = [
        Problem(("parameters", name), "the template has no such parameter", help_text)
        for name in sorted(given)
        if name not in declared
    ]
    values = {**declared, **given}
    for name in sorted({name for name, _ in find_references(template["spec"], ())}):
        if values.get(name) is None:
            problems.append(Problem(("parameters", name), "the template needs this parameter"))
    if problems:
        return problems
    spec = _substitute(template["spec"], values)
    # A parameter such as "{x}" after a "$" in the template can make up a new reference.
    problems = [
        Problem(("spec", *path), f"parameter {name!r} is left after resolution")
        for name, path in find_references(spec, ())
    ] or check_spec(spec)
    if problems:
        return problems
    known = ", ".join(sorted(models)) or "none; publish a model object first"
    return [
        Problem(("spec", "models"), f"model {name} does not exist", known)
        for name in spec.get("models", [])
        if name not in models
    ]


def resolve_team(name: str, team: Mapping[str, Any], template: Mapping[str, Any]) -> TeamPolicy:
    """Make the policy of a team that has passed `check_team`."""
    spec = resolve_spec(team, template)
    priorities = spec.get("priorities", {})
    allowed = frozenset(map(Priority, priorities.get("allowed", list(Priority))))
    default = priorities.get("default")
    tokens = team["token_sha256"]
    return TeamPolicy(
        name=name,
        models=frozenset(spec.get("models", [])),
        token_digests=frozenset(tokens if isinstance(tokens, list) else [tokens]),
        default_priority=_default_priority(default, allowed),
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
    """Resolves states to the configuration in force; teams that did not change are kept."""

    def __init__(self) -> None:
        self._teams: dict[str, tuple[tuple[int, int], TeamPolicy]] = {}

    def resolve(self, state: ConfigState) -> FleetConfig:
        """Make the resolved view of a state."""
        teams: dict[str, tuple[tuple[int, int], TeamPolicy]] = {}
        servers, models, out = {}, [], []
        for key, item in state.objects.items():
            kind, _, name = key.partition("/")
            if item.value is None:
                continue
            if kind == "team":
                template = state.objects[f"template/{item.value['template']}"]
                versions = (item.version, template.version)
                known = self._teams.get(name)
                if known is None or known[0] != versions:
                    assert template.value is not None
                    known = (versions, resolve_team(name, item.value, template.value))
                teams[name] = known
            elif kind == "server":
                servers[name] = _resolve_server(item.value)
            elif kind == "model":
                models.append(name)
            elif kind == "data_centre" and item.value["state"] == "out":
                out.append(name)
        self._teams = teams
        policies = {name: policy for name, (_, policy) in sorted(teams.items())}
        return FleetConfig(
            offset=state.offset,
            teams=policies,
            teams_by_token={
                digest: policy for policy in policies.values() for digest in policy.token_digests
            },
            out_of_service=frozenset(out),
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


def _default_priority(value: str | None, allowed: frozenset[Priority]) -> Priority:
    if value is not None:
        return Priority(value)
    return Priority.INTERACTIVE if Priority.INTERACTIVE in allowed else Priority.BATCH


def _substitute(value: Any, values: Mapping[str, Any]) -> Any:
    if isinstance(value, str):
        whole = REFERENCE.fullmatch(value)
        if whole is not None:
            return values[whole[1]]
        return REFERENCE.sub(lambda match: str(values[match[1]]), value)
    if isinstance(value, dict):
        return {key: _substitute(child, values) for key, child in value.items()}
    if isinstance(value, list):
        return [_substitute(child, values) for child in value]
    return value
