"""Check of the close-delimited responses of one server."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import structlog

from cornellead_core.close_delimited._listener_check import CHECK_TIMEOUT_S
from cornellead_core.close_delimited._listener_check import check_listener
from cornellead_core.close_delimited._probe_connection import open_probe
from cornellead_core.close_delimited._response_end import ResponseEnd
from cornellead_core.close_delimited._response_end import judge_end

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_PORTS = {"http": 80, "https": 443}


class ServerEndCheck:
    """Finds out whether the responses of one server are whole, and logs which are not.

    :param url: Base URL of the server.
    :param leaving: Returns whether the server is being taken out of service.
    """

    def __init__(self, *, url: str, leaving: Callable[[], bool]) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or "127.0.0.1"
        self._port = parts.port or DEFAULT_PORTS.get(parts.scheme, 80)
        self._leaving = leaving

    async def run(self, *, timeout_s: float = CHECK_TIMEOUT_S) -> ResponseEnd:
        """Judge a response whose connection has just closed.

        :param timeout_s: Maximum time of the check, in seconds.
        """
        listener = await check_listener(
            partial(open_probe, self._host, self._port), timeout_s=timeout_s
        )
        leaving = self._leaving()
        end = judge_end(listener, leaving=leaving)
        if end is not ResponseEnd.WHOLE:
            structlog.get_logger().info(
                "response_ended_with_connection",
                server=f"{self._host}:{self._port}",
                end=end.value,
                listener=listener.value,
                leaving=leaving,
            )
        return end
