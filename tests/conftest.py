"""Fixtures and options for all tests."""

from __future__ import annotations

import os
import socket
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from hypothesis import settings

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.register_profile("default", deadline=None)
settings.load_profile("ci" if os.environ.get("CI") else "default")


def _known_red() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.removeprefix("test:").strip() for line in lines if line.startswith("test:")]


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that runs the tests listed in KNOWN-RED.txt too."""
    parser.addoption("--run-known-red", action="store_true", help="run known failing tests")


def pytest_report_header() -> list[str]:
    """Print the tests that are passed over."""
    return [f"known red, passed over: {node}" for node in _known_red()]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Skip exactly the tests listed in KNOWN-RED.txt."""
    if config.getoption("--run-known-red"):
        return
    known = set(_known_red())
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))


@pytest.fixture
def free_address() -> Callable[[], str]:
    """Return a function that finds a free ``ip:port`` on the loopback interface."""

    def find() -> str:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return f"127.0.0.1:{sock.getsockname()[1]}"

    return find
