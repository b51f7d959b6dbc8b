"""Runs verbs against the stand-in platform in the same process."""

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


class Outcome(NamedTuple):
    """What a verb did."""

    code: int
    out: str
    err: str

    @property
    def json(self) -> Any:
        """The output as JSON."""
        return msgspec.json.decode(self.out)


class Operator:
    """Runs verbs and reaches the platform behind them."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], directory: Path
    ) -> None:
        self._monkeypatch = monkeypatch
        self._capsys = capsys
        self._directory = directory
        self.transport: httpx.AsyncBaseTransport = httpx.ASGITransport(
            app=build_app(PlatformSettings(listen="", host_lag_s=0.0))  # type: ignore[arg-type]
        )
        monkeypatch.setattr(
            httpx, "AsyncClient", functools.partial(_make_client, httpx.AsyncClient, self)
        )
        monkeypatch.setenv("CORNELLEAD_PLATFORM", URL)

    def run(self, *argv: str) -> Outcome:
        """Run a verb."""
        self._monkeypatch.setattr(sys, "argv", ["cornellead", *argv])
        code = main()
        captured = self._capsys.readouterr()
        return Outcome(code, captured.out, captured.err)

    def write(self, text: str, name: str = "fleet.yaml") -> str:
        """Write a file and return its path."""
        path = self._directory / name
        path.write_text(text)
        return str(path)


def _make_client(cls: type[httpx.AsyncClient], operator: Operator) -> httpx.AsyncClient:
    return cls(transport=operator.transport)


@pytest.fixture
def operator(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> Operator:
    """Return an operator of an empty fleet."""
    # The stand-in's log thread would write the client's lines to a stream of an earlier test.
    monkeypatch.setattr(logging.getLogger("httpx"), "level", logging.WARNING)
    return Operator(monkeypatch, capsys, tmp_path)
