"""Command line of the experiments."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def _run_command(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "cornellead_emulator", *args],
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
    )


def test_settings_file_changes_the_fleet(tmp_path: Path) -> None:
    """Guards against settings that are read but not applied, and against missing reports."""
    settings = tmp_path / "fleet.yaml"
    settings.write_text("fleet:\n  routers: 3\n  servers: 4\n")
    out = tmp_path / "out"
    completed = _run_command(
        *("--load=calm", "--policy=gateway", "--seconds=5"),
        *(f"--settings={settings}", f"--out={out}"),
    )
    assert completed.returncode == 0, completed.stderr
    assert "routers=3" in completed.stdout
    assert (out / "results.md").exists()
    assert (out / "in_aim.png").exists()


def test_unknown_setting_is_rejected_by_name(tmp_path: Path) -> None:
    """Guards against a misspelled setting that is silently ignored."""
    settings = tmp_path / "fleet.yaml"
    settings.write_text("fleet:\n  router: 3\n")
    completed = _run_command(f"--settings={settings}")
    assert completed.returncode == 2
    assert "router" in completed.stderr
