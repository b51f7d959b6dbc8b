"""Findings in configuration files: entries without effect and contradicting limits."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest
from tests.platform_adapter.payloads import operator_config

from cornellead_core.config import FindingKind
from cornellead_core.config import check_files
from cornellead_core.config import read_files
from cornellead_core.routing import Bounds
from cornellead_platform import RoutingFormat

if TYPE_CHECKING:
    from pathlib import Path

    from cornellead_core.config import Finding

BOUNDS = Bounds(
    drain_grace_s=1.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_minimum=2.0,
    cold_slack=1.0,
    load_factor=2.0,
    config_delay_s=1.0,
)
FLEET = """\
kind: model
name: m
---
kind: template
name: t
parameters: {rate: 10}
spec:
  models: [m]
  limits: {requests_per_second: "${rate}", concurrent_requests: 5}
---
kind: team
name: a
template: t
token_sha256: [%s]
""" % ("a" * 64)


def _check(directory: Path, text: str, *, bounds: Bounds | None = None) -> list[Finding]:
    file = directory / "x.yaml"
    file.write_text(text)
    files = read_files([str(file)])
    return check_files(files, objects={}, decoder=RoutingFormat(), bounds=bounds).findings


def _check_routing(directory: Path, change: Any, bounds: Bounds | None = None) -> list[Finding]:
    config = operator_config()
    change(config)
    return _check(directory, json.dumps(config, indent=1), bounds=bounds)


@pytest.mark.parametrize(
    ("text", "path", "message"),
    [
        (FLEET.replace("name: t\n", "name: u\n", 1), "template", "template t does not exist"),
        (FLEET + "---\nkind: model\nname: n\n", "", "no team may use this model"),
        (FLEET.replace("rate: 10", "rate: 10, x: 1"), "parameters.x", "does not use this"),
        (FLEET.replace("a" * 64, f"{'a' * 64}, {'a' * 64}"), "token_sha256", "listed 2 times"),
        (FLEET.replace("[m]", "[m, m]"), "template.models", "m is listed 2 times"),
        (FLEET.replace("models: [m]", "models: []"), "template", "neither a model nor"),
        (FLEET + "---\nkind: server\nname: s\nmodels: []\n", "models", "gets no requests"),
        (FLEET + "---\nkind: data_centre\nname: d\nstate: out\n", "state", "no request is served"),
        (FLEET.partition("---\nkind: team")[0], "", "no team uses this template"),
        ("", "", "no configuration objects"),
        ("a: [", "", "not valid YAML"),
        ("[" * 1000, "", "nested too deeply"),
        (FLEET.replace("rate: 10", f"rate: 0x{'f' * 5000}"), "parameters.rate", "too large"),
        (FLEET.replace("rate: 10", 'rate: "\\ud800"'), "parameters.rate", "not valid Unicode"),
        (FLEET.replace("rate: 10", '"\\ud800": 1'), "parameters", "not valid Unicode"),
        (FLEET.replace("rate: 10", "rate: !!int ''"), "parameters.rate", "cannot read the value"),
    ],
)
def test_object_without_effect_is_found(tmp_path: Path, text: str, path: str, message: str) -> None:
    """Guards against files that are sent although a part of them has no effect."""
    findings = _check(tmp_path, text)
    assert any(item.path == path and message in item.message for item in findings), findings
    assert all(item.line > 0 or item.file == "input" for item in findings)


def test_sound_files_have_no_findings(tmp_path: Path) -> None:
    """Guards against findings in files that are in order."""
    assert _check(tmp_path, FLEET) == []
    assert _check_routing(tmp_path, lambda config: None, BOUNDS) == []


@pytest.mark.parametrize(
    ("change", "path", "message"),
    [
        ({"timeout_ms": 600}, "timeout_ms", "under the target of 0.8 s"),
        ({"timeout_ms": 800, "gap_target_ms": 900}, "timeout_ms", "the wait of 0.9 s"),
        ({"max_attempts": 2}, "max_attempts", "at most once"),
        ({"max_attempts": 4, "kind": "safe"}, "max_attempts", "exceed the retry budget"),
        ({"allowed_regions": ["west"]}, "allowed_regions", "no region in common"),
    ],
)
def test_contradicting_limits_are_found(
    tmp_path: Path, change: dict[str, Any], path: str, message: str
) -> None:
    """Guards against limits that cannot hold together, which no decoder rejects."""

    def apply(config: dict[str, Any]) -> None:
        config["routes"][0].update(change)
        config["tenants"][0]["allowed_regions"] = ["east"]

    findings = _check_routing(tmp_path, apply, BOUNDS)
    assert [item.kind for item in findings] == [FindingKind.CONTRADICTION]
    assert findings[0].path == f"routes.0.{path}" and message in findings[0].message
    assert findings[0].line > 1


@pytest.mark.parametrize(
    ("change", "path", "message"),
    [
        ({"path_prefix": "/plan"}, "routes.0.path_prefix", "begin and end with /"),
        ({"path_prefix": "/a?/"}, "routes.0.path_prefix", "before ? and #"),
        ({"hostname": "a:80"}, "routes.0.hostname", "ports are removed"),
        ({"path_prefix": "/pay/"}, "routes.0.path_prefix", "routes.1 has the same"),
        ({"weighted_services": [{"service": "llm", "weight": 0}]}, "services.0.name", "no route"),
        ({"weighted_services": [{"service": "x"}]}, "routes.0.services", "x is not defined"),
        ({"timeout_ms": "1"}, "routes.0.timeout_ms", "expected a number"),
        ({"timeout_ms": 1e400}, "routes.0.timeout_ms", ""),
    ],
)
def test_routes_that_never_match_are_found(
    tmp_path: Path, change: dict[str, Any], path: str, message: str
) -> None:
    """Guards against a route that no request can match, or that is not valid."""
    findings = _check_routing(tmp_path, lambda config: config["routes"][0].update(change))
    assert any(item.path == path and message in item.message for item in findings), findings


def test_teams_without_requests_are_found(tmp_path: Path) -> None:
    """Guards against a team whose keys lead to another team, or that has none."""

    def add_teams(config: dict[str, Any]) -> None:
        key = config["tenants"][0]["api_keys"][0]
        config["tenants"] += [{"name": "b", "api_keys": [key]}, {"name": "c"}]

    findings = _check_routing(tmp_path, add_teams)
    found = [(item.path, item.kind) for item in findings]
    assert found == [
        ("tenants.0.api_keys", FindingKind.UNREACHABLE),
        ("tenants.2.api_keys", FindingKind.UNREACHABLE),
    ]
