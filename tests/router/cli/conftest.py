"""Fixture that runs the command line against the stand-in platform in the same process."""

from __future__ import annotations

import functools
import logging
import sys
from typing import TYPE_CHECKING
from typing import NamedTuple

import httpx
import msgspec
import pytest

from cornellead.cli import main
from cornellead_standins.platform import PlatformSettings
from cornellead_standins.platform import build_app

if TYPE_CHECKING:
    from pathlib import Path
    from typing import Any

URL = "http://platform"
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
token_sha256: %s
""" % ("a" * 64)


class CliResult(NamedTuple):
    """Exit code and output of a verb."""

    exit_code: int
    stdout: str
    stderr: str

    @property
    def json(self) -> Any:
        """Standard output, decoded from JSON."""
        return msgspec.json.decode(self.stdout)


class CliRunner:
    """Runs verbs in this process; their HTTP requests go through `transport` to the platform."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], directory: Path
    ) -> None:
        self._monkeypatch = monkeypatch
        self._capsys = capsys
        self._directory = directory
        self.transport: httpx.AsyncBaseTransport
        self.reset_platform()
        monkeypatch.setattr(
            httpx, "AsyncClient", functools.partial(_make_client, httpx.AsyncClient, self)
        )
        monkeypatch.setenv("CORNELLEAD_PLATFORM", URL)

    def reset_platform(self, **settings: int) -> None:
        """Replace the platform by a new, empty one.

        :param settings: Settings of the platform that differ from the defaults.
        """
        app = build_app(PlatformSettings(listen="", host_lag_s=0.0, **settings))
        self.transport = httpx.ASGITransport(app=app)  # type: ignore[arg-type]

    def run(self, *argv: str) -> CliResult:
        """Run the command line with these arguments."""
        self._monkeypatch.setattr(sys, "argv", ["cornellead", *argv])
        exit_code = main()
        captured = self._capsys.readouterr()
        return CliResult(exit_code, captured.out, captured.err)

    def write(self, text: str, name: str = "fleet.yaml") -> str:
        """Write a file to the temporary directory and return its path."""
        path = self._directory / name
        path.write_text(text)
        return str(path)


def _make_client(cls: type[httpx.AsyncClient], runner: CliRunner) -> httpx.AsyncClient:
    return cls(transport=runner.transport)


@pytest.fixture
def cli(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> CliRunner:
    """Return a runner of the command line against an empty platform."""
    # The log thread of the stand-in would write the client's log lines to the captured output of an
    # earlier test.
    monkeypatch.setattr(logging.getLogger("httpx"), "level", logging.WARNING)
    return CliRunner(monkeypatch, capsys, tmp_path)
