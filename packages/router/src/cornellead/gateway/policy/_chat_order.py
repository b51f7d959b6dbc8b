"""Interface of orders of servers for a chat."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cornellead.gateway.beliefs import ServerState


class ChatOrder(Protocol):
    """Orders model servers for a request that shares its prompt with others."""

    def __call__(
        self,
        key: str,
        servers: Sequence[ServerState],
        loads: Mapping[str, float],
        *,
        load_factor: float,
        spread: float,
        now: float,
    ) -> list[ServerState]:
        """Return the servers, the best first.

        :param key: Identity of the shared part of the prompt.
        :param servers: Servers that may be used.
        :param loads: Estimated requests at each server of the service, by name.
        :param load_factor: Multiple of the mean load that a server may have.
        :param spread: Number from 0 to 1 that differs between requests.
        :param now: Seconds.
        """
        ...
