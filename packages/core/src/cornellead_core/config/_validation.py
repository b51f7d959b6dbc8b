"""Validation of a change together with the objects that refer to the changed ones."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cornellead_core.config._checks import check_object
from cornellead_core.config._checks import has_reference
from cornellead_core.config._object_name import ObjectKind
from cornellead_core.config._object_name import split_name
from cornellead_core.config._problem import Problem
from cornellead_core.config._resolver import check_team

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cornellead_core.config._config_state import ConfigObject
    from cornellead_core.config._config_state import ConfigState


def find_problems(
    objects: Mapping[str, ConfigObject], changes: Mapping[str, dict[str, Any] | None]
) -> list[str]:
    """Return the problems of a change as text, each prefixed with the name of its object."""
    return [f"{name}: {problem}" for name, problem in find_object_problems(objects, changes)]


def check_state(state: ConfigState) -> list[str]:
    """Return the problems of a state that comes from a peer or a snapshot, as text."""
    changes = {name: item.value for name, item in state.objects.items()}
    problems = find_problems({}, changes)
    problems += [
        f"{name}: version {item.version} is higher than the offset {state.offset}"
        for name, item in state.objects.items()
        if item.version > state.offset
    ]
    return problems


def find_object_problems(
    objects: Mapping[str, ConfigObject], changes: Mapping[str, dict[str, Any] | None]
) -> list[tuple[str, Problem]]:
    """Check the changed objects and those that refer to them.

    References are checked only if every changed object is valid by itself.

    :param objects: Objects before the change, which must be valid.
    :param changes: New values by object name; ``None`` deletes the object.
    :returns: Pairs of object name and problem, in a deterministic order.
    """
    structure_problems = [
        (name, problem)
        for name, value in sorted(changes.items())
        for problem in _check_structure(name, value)
    ]
    return structure_problems or list(_ReferenceChecker(objects, changes).check())


def _check_structure(name: str, value: dict[str, Any] | None) -> Iterable[Problem]:
    split = split_name(name)
    if split is None:
        return [Problem((), "not an object name", "<kind>/<name>")]
    return [] if value is None else check_object(split[0], value)


class _ReferenceChecker:
    """Checks the references of the objects that a change can affect."""

    def __init__(
        self,
        objects: Mapping[str, ConfigObject],
        changes: Mapping[str, dict[str, Any] | None],
    ) -> None:
        self._objects = objects
        self._changes = changes
        names = {name for name, item in objects.items() if item.value is not None}
        names |= {name for name, value in changes.items() if value is not None}
        names -= {name for name, value in changes.items() if value is None}
        self._final_names = sorted(names)
        self._models = frozenset(
            name[6:] for name in self._final_names if name.startswith("model/")
        )

    def check(self) -> Iterable[tuple[str, Problem]]:
        kinds = {name.partition("/")[0] for name in self._changes}
        deletes_model = any(
            name.startswith("model/") and value is None for name, value in self._changes.items()
        )
        if ObjectKind.TEAM in kinds or ObjectKind.TEMPLATE in kinds or deletes_model:
            yield from self._check_templates(all_templates=deletes_model)
            yield from self._check_teams(all_teams=deletes_model)
        if ObjectKind.SERVER in kinds or deletes_model:
            yield from self._check_servers()

    def _final_value(self, name: str) -> dict[str, Any] | None:
        if name in self._changes:
            return self._changes[name]
        current = self._objects.get(name)
        return None if current is None else current.value

    def _check_teams(self, *, all_teams: bool) -> Iterable[tuple[str, Problem]]:
        owners: dict[str, str] = {}
        for name in self._final_names:
            if not name.startswith("team/"):
                continue
            team = self._final_value(name)
            assert team is not None
            tokens = team["token_sha256"]
            for digest in [tokens] if isinstance(tokens, str) else tokens:
                owner = owners.setdefault(digest, name)
                if owner != name:
                    yield name, Problem(("token_sha256",), f"{owner} has the same token")
            template_name = f"template/{team['template']}"
            if all_teams or name in self._changes or template_name in self._changes:
                for problem in self._check_team(team, template_name):
                    yield name, problem

    def _check_team(self, team: dict[str, Any], template_name: str) -> Iterable[Problem]:
        template = self._final_value(template_name)
        if template is None:
            templates = [name[9:] for name in self._final_names if name.startswith("template/")]
            help_text = ", ".join(templates) or "none; publish a template first"
            message = f"template {team['template']} does not exist"
            return [Problem(("template",), message, help_text)]
        return check_team(team, template, self._models)

    def _check_templates(self, *, all_templates: bool) -> Iterable[tuple[str, Problem]]:
        for name in self._final_names:
            if not name.startswith("template/") or not (all_templates or name in self._changes):
                continue
            template = self._final_value(name)
            assert template is not None
            models = template["spec"].get("models", [])
            for index, model in enumerate(models if isinstance(models, list) else []):
                if model not in self._models and not has_reference(model):
                    message = f"model {model} does not exist"
                    path = ("spec", "models", str(index))
                    yield name, Problem(path, message, self._accepted_models)

    @property
    def _accepted_models(self) -> str:
        return ", ".join(sorted(self._models)) or "none; publish a model object first"

    def _check_servers(self) -> Iterable[tuple[str, Problem]]:
        for name in self._final_names:
            if not name.startswith("server/"):
                continue
            value = self._final_value(name)
            assert value is not None
            for model in value.get("models", []):
                if model not in self._models:
                    message = f"model {model} does not exist"
                    yield name, Problem(("models",), message, self._accepted_models)
