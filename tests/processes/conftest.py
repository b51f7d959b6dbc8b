"""A fleet of separate processes for the tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest
from scripts.fleet import Fleet
from scripts.fleet import plan_imigongo

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """The fleet of Imigongo."""
    directory = tmp_path_factory.mktemp("fleet") / "imigongo"
    with Fleet(plan=plan_imigongo(), directory=directory) as running:
        yield running


@pytest.fixture
def client() -> Iterator[httpx.Client]:
    """An HTTP client with a time-out beyond every deadline used here."""
    with httpx.Client(timeout=30.0) as opened:
        yield opened
