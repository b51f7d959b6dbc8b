"""Tests of configuration objects and documents: checks, references and resolution."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING
from typing import Any

import pytest

from cornellead_core.config import ConfigObject
from cornellead_core.config import ConfigState
from cornellead_core.config import Priority
from cornellead_core.config import Resolver
from cornellead_core.config import check_documents
from cornellead_core.config import find_problems
from cornellead_core.config import load_documents

if TYPE_CHECKING:
    from pathlib import Path

TOKEN_SHA256 = "a" * 64
OBJECTS: dict[str, Any] = {
    "model/m": {},
    "template/t": {
        "parameters": {"rate": 10, "bound": None},
        "spec": {
            "models": ["m"],
            "priorities": {"default": "batch", "allowed": ["interactive", "batch"]},
            "limits": {"requests_per_second": "${rate}", "concurrent_requests": 5},
            "load_bound": "${bound}",
            "services": {"booking": {"idempotent": ["find"], "at_most_once": ["pay"]}},
            "key_validity": "30m",
        },
    },
    "team/a": {"template": "t", "parameters": {"bound": 1.5}, "token_sha256": TOKEN_SHA256},
    "data_centre/d": {"state": "out"},
    "server/s": {"state": "draining", "models": ["m"], "version": "v2"},
}


def _make_objects(values: dict[str, Any]) -> dict[str, ConfigObject]:
    return {name: ConfigObject(0, "a", value) for name, value in values.items()}


def test_resolution_of_all_kinds_of_objects() -> None:
    """Guards against parameters, defaults or states that are lost in resolution."""
    assert find_problems({}, OBJECTS) == []
    cfg = Resolver().resolve(ConfigState(0, _make_objects(OBJECTS), ()))
    team = cfg.teams["a"]
    assert (team.requests_per_s, team.load_bound, team.key_validity_s) == (10.0, 1.5, 1800.0)
    assert team.default_priority is Priority.BATCH
    assert team.services["booking"].at_most_once == {"pay"}
    assert cfg.teams_by_token == {TOKEN_SHA256: team}
    assert cfg.out_of_service == {"d"} and cfg.load_bound == 1.5
    assert cfg.servers["s"].draining and cfg.servers["s"].models == ("m",)


def test_changed_template_invalidates_cached_teams() -> None:
    """Guards against a team that keeps the limits of an old version of its template."""
    resolver = Resolver()
    objects = _make_objects(OBJECTS)
    first = resolver.resolve(ConfigState(0, objects, ()))
    changed = copy.deepcopy(OBJECTS["template/t"])
    changed["parameters"]["rate"] = 20
    objects["template/t"] = ConfigObject(1, "a", changed)
    second = resolver.resolve(ConfigState(1, objects, ()))
    assert (first.teams["a"].requests_per_s, second.teams["a"].requests_per_s) == (10.0, 20.0)


@pytest.mark.parametrize(
    ("name", "path", "value", "expected"),
    [
        ("template/t", ("spec", "models"), ["x"], "model x does not exist (accepted: m)"),
        ("template/t", ("spec", "load_bound"), 0.9, "a number from 1 to 100"),
        ("template/t", ("spec", "load_bound"), "${bund}", "'bund' is not declared (accepted: b"),
        ("template/t", ("spec", "key_validity"), "30x", "30s, 10m or 1h"),
        ("template/t", ("spec", "limits"), {"requests_per_second": 1}, "concurrent_requests: mis"),
        ("template/t", ("spec", "priorities"), {"default": "high"}, "interactive, batch"),
        ("template/t", ("spec", "priorities", "allowed"), ["interactive"], "batch is not allowed"),
        ("template/t", ("spec", "services", "booking", "idempotent"), ["pay"], "pay is both"),
        ("template/t", ("spec", "modles"), [], "unknown key (accepted: limits, models"),
        ("template/t", ("parameters", "rate"), "${bound}", "references belong in the spec"),
        ("team/a", ("template",), "u", "template u does not exist (accepted: t)"),
        ("team/a", ("parameters",), {}, "parameters.bound: the template needs this parameter"),
        ("team/a", ("parameters", "bound"), "high", "load_bound: 'high' is not accepted"),
        ("team/a", ("parameters", "rat"), 1, "no such parameter (accepted: bound, rate)"),
        ("team/a", ("token_sha256",), "secret-token", "64 lower-case hexadecimal digits"),
        ("data_centre/d", ("state",), "off", "in, out"),
        ("server/s", ("state",), "out", "serving, draining"),
        ("server/s", ("models",), ["x"], "model x does not exist"),
        ("server/s", ("version",), 2, "put numbers in quotes"),
    ],
)
def test_invalid_values_are_reported(
    name: str, path: tuple[str, ...], value: Any, expected: str
) -> None:
    """Guards against publishing an invalid value, and against errors without accepted values.

    The values themselves may be secrets, which must not appear in an error.
    """
    changed = copy.deepcopy(OBJECTS)
    parent = changed[name]
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    problems = find_problems(_make_objects(OBJECTS), {name: changed[name]})
    assert len(problems) >= 1
    assert expected in "\n".join(problems)
    assert "secret" not in problems[0]


@pytest.mark.parametrize(
    ("name", "users"),
    [("model/m", ["template/t", "team/a", "server/s"]), ("template/t", ["team/a"])],
)
def test_object_in_use_cannot_be_deleted(name: str, users: list[str]) -> None:
    """Guards against dangling references."""
    for remaining in users:
        others = [user for user in users if user != remaining]
        assert find_problems(_make_objects(OBJECTS), dict.fromkeys([name, *others])), remaining
    assert not find_problems(_make_objects(OBJECTS), dict.fromkeys([name, *users]))


def test_unused_template_must_refer_to_existing_models() -> None:
    """Guards against publishing a template that no team could use."""
    changed = copy.deepcopy(OBJECTS["template/t"])
    changed["spec"]["models"] = ["m", "${rate}", "x"]
    problems = find_problems(_make_objects(OBJECTS), {"template/u": changed})
    assert problems == ["template/u: spec.models.2: model x does not exist (accepted: m)"]


def test_token_of_another_team_is_rejected() -> None:
    """Guards against a token that is ambiguous between two teams."""
    other = {**OBJECTS["team/a"], "token_sha256": ["b" * 64, TOKEN_SHA256]}
    assert (
        "team/a has the same token" in find_problems(_make_objects(OBJECTS), {"team/b": other})[0]
    )


def test_parameter_that_forms_a_reference_is_rejected() -> None:
    """Guards against a reference that resolution creates and leaves unresolved."""
    changed = copy.deepcopy(OBJECTS)
    changed["template/t"]["spec"]["load_bound"] = "$${bound}"
    changed["team/a"]["parameters"]["bound"] = "{rate}"
    assert "left after resolution" in find_problems({}, changed)[0]


def test_document_errors_have_file_and_line(tmp_path: Path) -> None:
    """Guards against errors without their position in the file."""
    file = tmp_path / "fleet.yaml"
    file.write_text(
        "kind: model\nname: m\n---\nkind: data_centre\nname: d\nstate: off\n"
        "---\nkind: team\nname: a\ntemplate: none\ntoken_sha256: " + TOKEN_SHA256 + "\n"
    )
    documents = load_documents([str(tmp_path)]).unwrap()
    assert [document.name for document in documents] == ["model/m", "data_centre/d", "team/a"]
    errors = check_documents(documents, {})
    assert [(error.file, error.line, error.path) for error in errors] == [(str(file), 6, "state")]
    errors = check_documents([documents[0], documents[2]], {})
    assert [(error.line, error.path) for error in errors] == [(10, "template")]


@pytest.mark.parametrize(
    ("text", "path", "line"),
    [
        ("name: m", "kind", 1),
        ("kind: crew\nname: m", "kind", 1),
        ("kind: model", "name", 1),
        ("kind: model\nname: a/b", "name", 2),
        ("- 1", "", 1),
        ("kind: model\nname: m\n---\nkind: model\nname: m", "name", 4),
    ],
)
def test_missing_invalid_and_duplicate_names_are_reported(
    tmp_path: Path, text: str, path: str, line: int
) -> None:
    """Guards against objects without a usable name, and against objects that overwrite others."""
    file = tmp_path / "x.yml"
    file.write_text(text)
    errors = load_documents([str(file)]).failure()
    assert [(error.path, error.line) for error in errors] == [(path, line)]


def test_path_without_configuration_files_is_an_error(tmp_path: Path) -> None:
    """Guards against a publish that silently does nothing because of a wrong path."""
    assert load_documents([str(tmp_path)]).failure()
    assert load_documents([str(tmp_path / "none")]).failure()
