"""Reload of the settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.gateway.process._settings_watcher import SettingsWatcher

if TYPE_CHECKING:
    from pathlib import Path


def test_invalid_file_keeps_the_current_settings(tmp_path: Path) -> None:
    """Guards against a running process that stops because of a typing error in the file."""
    applied: list[object] = []
    results: list[Result[str, str]] = [Failure("heartbeat_ms: expected a number"), Success("new")]
    watcher = SettingsWatcher(
        path=str(tmp_path / "boot.json"),
        current="old",  # type: ignore[arg-type]
        load=lambda _: results.pop(0),  # type: ignore[arg-type, return-value]
        apply=applied.append,
    )
    watcher.reload("SIGHUP")
    assert applied == []
    watcher.reload("SIGHUP")
    assert applied == ["new"]
