"""The verb that checks configuration files before they are sent."""

from __future__ import annotations

import contextlib
import io
import json
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from unittest.mock import patch

import httpx
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from tests.platform_adapter.payloads import operator_config
from tests.router.cli.conftest import FLEET

from cornellead.cli import main

if TYPE_CHECKING:
    from tests.router.cli.conftest import CliRunner

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
KEYS = st.sampled_from(
    ["kind", "name", "spec", "models", "parameters", "limits", "template", "token_sha256", "state"]
    + ["routes", "services", "tenants", "version", "priorities", "load_bound", "key_validity"]
)
OBJECTS = st.dictionaries(KEYS, VALUES | st.sampled_from(["team", "template", "m", "${x}"]))
SNIPPETS = ["!!int ''", "!!timestamp x", "0x" + "f" * 5000, "9" * 5000, "1e999", "&a [*a]", "\0"]
SNIPPETS += [
    "[" * 400,
    "{a: " * 400,
    '"\\ud800"',
    "2001-01-01T00:00:00+99:99",
    "---",
    "<<: [1]",
    "${rate}",
]


@st.composite
def _broken_routings(draw: st.DrawFn) -> bytes:
    config = operator_config()
    rows = config[draw(st.sampled_from(["routes", "services", "tenants"]))]
    row = draw(st.sampled_from(rows))
    row[draw(st.sampled_from(sorted(row)))] = draw(VALUES)
    return json.dumps(config).encode("utf-8", "surrogatepass")


@st.composite
def _broken_objects(draw: st.DrawFn) -> bytes:
    lines = FLEET.splitlines()
    number = draw(st.integers(0, len(lines) - 1))
    start = lines[number].partition(":")[0]
    lines[number] = f"{start}: {draw(st.sampled_from(SNIPPETS) | VALUES.map(str))}"
    return "\n".join(lines).encode("utf-8", "surrogatepass")


CONTENTS = (
    st.binary(max_size=200)
    | st.text(max_size=200).map(lambda text: text.encode("utf-8", "surrogatepass"))
    | st.lists(OBJECTS, max_size=3)
    .map(lambda items: "\n---\n".join(map(json.dumps, items)))
    .map(str.encode)
    | _broken_routings()
    | _broken_objects()
)


@settings(max_examples=300, deadline=None)
@given(content=CONTENTS)
def test_bad_input_of_any_kind_is_a_finding(content: bytes) -> None:
    """Guards against a traceback instead of a finding."""
    out, err = io.StringIO(), io.StringIO()
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory) / "x.yaml"
        file.write_bytes(content)
        argv = ["cornellead", "check", "--platform=", "--output=json", str(file)]
        with (
            patch.object(sys, "argv", argv),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            code = main()
    findings = json.loads(out.getvalue())["findings"]
    assert code == (2 if err.getvalue() else 1 if findings else 0)


def test_findings_and_differences_are_shown(cli: CliRunner) -> None:
    """Guards against a finding without its place, and differences that count as findings."""
    cli.run("publish", cli.write(FLEET))
    changed = cli.write(FLEET.replace("rate: 10", "rate: 20"), "changed.yaml")
    shown = cli.run("check", changed)
    assert shown.exit_code == 0
    assert "template/t: parameters.rate: 10 -> 20" in shown.stdout
    report = cli.run("check", "--output=json", changed).json
    assert [item["path"] for item in report["differences"]] == ["parameters.rate"]
    unused = cli.write(FLEET.replace("rate: 10", "rate: 10, x: 1"), "unused.yaml")
    found = cli.run("check", unused)
    assert found.exit_code == 1
    assert f"{unused}:6: parameters.x: the spec does not use" in found.stdout


def test_what_cannot_be_read_ends_with_two(cli: CliRunner, tmp_path: Path) -> None:
    """Guards against a missing file, node file or platform that looks like a sound one."""
    sound = cli.write(FLEET)
    assert cli.run("check", "--platform=", sound).exit_code == 0
    assert cli.run("check", "--platform=", sound, str(tmp_path / "missing")).exit_code == 2
    assert cli.run("check", "--platform=", f"--node={sound}", sound).exit_code == 2

    def fail_to_connect(request: httpx.Request) -> httpx.Response:
        raise httpx.ConnectError("refused", request=request)

    cli.transport = httpx.MockTransport(fail_to_connect)
    assert cli.run("check", sound).exit_code == 2


@pytest.mark.parametrize("argv", [[], ["--output=x", "y"]])
def test_wrong_command_line_ends_with_two(cli: CliRunner, argv: list[str]) -> None:
    """Guards against a command line that checks nothing and succeeds."""
    assert cli.run("check", *argv).exit_code == 2
