"""Command line of experiments."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def _run(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "cornellead_emulator", *args],
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
    )


def test_settings_file_changes_the_fleet(tmp_path: Path) -> None:
    """Guards against settings that are read and not used."""
    settings = tmp_path / "fleet.yaml"
    settings.write_text("fleet:\n  routers: 3\n  servers: 4\n")
    out = tmp_path / "out"
    done = _run(
        *("--load=calm", "--policy=gateway", "--seconds=5"),
        *(f"--settings={settings}", f"--out={out}"),
    )
    assert done.returncode == 0, done.stderr
    assert "routers=3" in done.stdout
    assert (out / "results.md").exists()
    assert (out / "in_aim.png").exists()


def test_bad_settings_are_named(tmp_path: Path) -> None:
    """Guards against a misspelled setting that is ignored."""
    settings = tmp_path / "fleet.yaml"
    settings.write_text("fleet:\n  router: 3\n")
    done = _run(f"--settings={settings}")
    assert done.returncode == 2
    assert "router" in done.stderr
