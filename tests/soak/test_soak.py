"""Randomized faults on real processes.

By hand, with fresh seeds: ``SOAK_SEEDS=100-150 SOAK_SECONDS=20 pytest tests/soak``.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import pytest
from tests.soak.soak import Soak

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

pytestmark = pytest.mark.processes

CI_SEEDS = "1-2"
CI_SECONDS = "6"


def _seeds() -> list[int]:
    first, _, last = os.environ.get("SOAK_SEEDS", CI_SEEDS).partition("-")
    return list(range(int(first), int(last or first) + 1))


@pytest.mark.parametrize("seed", _seeds())
async def test_promises_hold_under_faults(
    seed: int, tmp_path: Path, free_address: Callable[[], str]
) -> None:
    """Guards against doubled, mixed or falsely refused requests, and against a fleet that does not
    come back, when proxies, signals, store and servers fail together."""
    seconds = float(os.environ.get("SOAK_SECONDS", CI_SECONDS))
    soak = Soak(seed=seed, seconds=seconds, folder=tmp_path, find=free_address)
    findings = await soak.run()
    assert findings == [], (soak.faults, dict(soak.answers))
    assert soak.answers[200] > 0
