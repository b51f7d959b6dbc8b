"""Fixtures for the tests of the stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from litestar.testing import TestClient

from cornellead_standins.engine import EngineSettings
from cornellead_standins.engine import build_app

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from litestar import Litestar

    EngineFactory = Callable[..., TestClient[Litestar]]


@pytest.fixture
def make_engine() -> Iterator[EngineFactory]:
    """Return a function that starts an engine in this process and returns its test client."""
    opened: list[TestClient[Litestar]] = []

    def make(**settings: Any) -> TestClient[Litestar]:
        fast = {"token_interval_s": 0.001, "load_lag_s": 0.0, "cache_event_lag_s": 0.0}
        app = build_app(EngineSettings(listen="", **(fast | settings)))
        opened.append(TestClient(app).__enter__())
        return opened[-1]

    yield make
    for client in opened:
        client.__exit__(None, None, None)
