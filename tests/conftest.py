"""Fixtures, options and Hypothesis profiles for all tests."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from hypothesis import settings
from scripts.fleet import PortBlock

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

ROOT = Path(__file__).parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"

settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.register_profile("default", deadline=None)
settings.load_profile("ci" if os.environ.get("CI") else "default")


def _read_known_failures() -> list[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt, which fail for a known fault."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return [line.removeprefix("test:").strip() for line in lines if line.startswith("test:")]


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that also runs the tests listed in KNOWN-RED.txt."""
    parser.addoption(
        "--run-known-red", action="store_true", help="also run the tests listed in KNOWN-RED.txt"
    )


def pytest_report_header() -> list[str]:
    """List the known failures, which are skipped by default, so that none is overlooked."""
    return [f"known red, passed over: {node}" for node in _read_known_failures()]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Skip exactly the tests listed in KNOWN-RED.txt."""
    if config.getoption("--run-known-red"):
        return
    known_failures = set(_read_known_failures())
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))


@pytest.fixture
def free_address() -> Iterator[Callable[[], str]]:
    """Yield a function that returns an unused ``ip:port`` of the loopback interface.

    The ports are below the ephemeral range: a port of that range may be returned twice, or be given
    to an outgoing connection before a process listens on it.
    """
    block = PortBlock()

    def find_address() -> str:
        nonlocal block
        try:
            return block.allocate()
        except RuntimeError:
            block.release()
            block = PortBlock()
            return block.allocate()

    yield find_address
    block.release()
