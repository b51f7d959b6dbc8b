"""Explanation of a request from the logs of gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cornellead.cli._exit_code import ExitCode
from cornellead.cli._explain import run

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def _write_log(path: Path, *lines: dict[str, object]) -> str:
    prefixed = [b"  12.5 front-1 " + msgspec.json.encode(line) for line in lines]
    path.write_bytes(b"\n".join([b"not a log line", *prefixed, b'{"event": cut']))
    return str(path)


def test_request_is_shown_with_earlier_events_of_its_router(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The output must have the events that explain why the server of a request had ended.

    Events of another process and of another server must not be shown.
    """
    request: dict[str, object] = {
        "event": "request",
        "request": "7f",
        "process": "r1",
        "timestamp": "2026-01-01T10:00:05Z",
        "status": 502,
        "attempts": ["s1:no_response"],
    }
    server_ended: dict[str, object] = {
        "event": "server ended",
        "process": "r1",
        "server": "s1",
        "cause": "removed",
    }
    store_lost: dict[str, object] = {
        "event": "store lost",
        "process": "r1",
        "timestamp": "2026-01-01T10:00:03Z",
    }
    log = _write_log(
        tmp_path / "one", request, server_ended | {"timestamp": "2026-01-01T10:00:02Z"}, store_lost
    )
    other_log = _write_log(tmp_path / "two", server_ended | {"process": "r2", "server": "s9"})
    assert run(["explain", "--request=7f", log, other_log]) == ExitCode.OK
    output = capsys.readouterr().out
    assert "s1:no_response" in output
    assert "server ended: cause=removed server=s1" in output
    assert "store lost" in output
    assert "s9" not in output


def test_unknown_request_is_an_error(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Empty output would look like a request without problems; an unknown id must be an error."""
    assert run(["explain", "--request=80", _write_log(tmp_path / "one")]) == ExitCode.FAILED
    assert run(["explain"]) == ExitCode.USAGE
    assert "80" in capsys.readouterr().err


def test_deeply_nested_line_does_not_end_the_reading_of_a_log(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against logs of which one odd line hides all that follows."""
    path = tmp_path / "one"
    nested = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}\n"
    path.write_bytes(nested + msgspec.json.encode({"event": "request", "request": "7f"}))
    assert run(["explain", "--request=7f", str(path)]) == ExitCode.OK
    assert "request" in capsys.readouterr().out
