"""Fixtures for tests of a fleet whose members run as separate processes."""

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
    """Yield a running fleet of the user Imigongo; the tests of a module share it."""
    directory = tmp_path_factory.mktemp("fleet") / "imigongo"
    with Fleet(plan=plan_imigongo(), directory=directory) as started_fleet:
        yield started_fleet


@pytest.fixture
def client() -> Iterator[httpx.Client]:
    """Yield an HTTP client whose timeout is longer than every deadline in the tests."""
    with httpx.Client(timeout=30.0) as http_client:
        yield http_client
