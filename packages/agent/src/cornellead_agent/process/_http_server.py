"""HTTP listener of the agent."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import uvicorn

if TYPE_CHECKING:
    from collections.abc import Iterator


class HttpServer(uvicorn.Server):
    """Uvicorn server that installs no signal handlers.

    The agent handles signals itself, because it drains before the listener closes.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing, so that the signal handlers of the agent stay installed."""
        yield
