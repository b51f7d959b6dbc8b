"""Selection of the servers to which a chat request is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead.fleet import ServerView


class Placement(NamedTuple):
    """Server to which the request is sent, and the placement headers to send along."""

    server: str
    adopt: bool = False
    """Whether the server is to accept the chat even if another server may have its cache."""
    fallback: bool = False
    """Whether the server is to apply the exact load bound, without a safety margin."""


class PlacementPlan:
    """Selects servers in preference order, and the least loaded one as the final fallback.

    A hint from a server that refused the request takes precedence over the order.

    :param order: Servers in preference order.
    :param attempts: Maximum number of placements before the fallback.
    :param returning: Whether the chat already had a response. The first server in the order is then
        selected even if it seems full, because it may hold a hint to the server that has the chat's
        cache.
    """

    def __init__(
        self,
        *,
        order: Sequence[str],
        view: ServerView,
        attempts: int,
        batch: bool = False,
        returning: bool = False,
    ) -> None:
        self._order = order
        self._batch = batch
        self._returning = returning
        self._view = view
        self._remaining = attempts
        self._tried: set[str] = set()
        self._hint = ""
        self._retry_server = ""
        self._fallback_used = False

    def next(self, *, now: float) -> Placement | None:
        """Return the next placement, or ``None`` if no server is left and the request has to wait.

        :param now: Monotonic time in seconds.
        """
        if self._retry_server:
            server, self._retry_server = self._retry_server, ""
            return Placement(server)
        if self._fallback_used:
            return None
        if self._remaining > 0:
            hint, self._hint = self._hint, ""
            if hint and self._is_candidate(hint, now):
                return self._select(hint, adopt=False)
            candidates = [server for server in self._order if self._is_candidate(server, now)]
            if candidates:
                return self._select(
                    candidates[0], adopt=self._remaining == 1 or len(candidates) == 1
                )
        self._fallback_used = True
        reachable = [server for server in self._order if self._view.is_available(server, now=now)]
        if not reachable:
            return None
        # min() returns the first of equal servers, so the preference order breaks ties.
        server = min(reachable, key=lambda name: self._view.relative_load(name, now=now))
        return Placement(server, adopt=True, fallback=True)

    def retry(self, server: str) -> None:
        """Select this server again next; the retry does not count as an attempt."""
        self._retry_server = server

    def record_refusal(self, reason: RefusalReason, hint: str) -> None:
        """Make the server that has the chat's cache the next one, if the refusal named it."""
        if reason is RefusalReason.MOVED and hint in self._order and hint not in self._tried:
            self._hint = hint

    def _is_candidate(self, server: str, now: float) -> bool:
        if server in self._tried or not self._view.is_available(server, now=now):
            return False
        if self._returning and server == self._order[0]:
            return True
        return not self._view.is_full(server, batch=self._batch, now=now)

    def _select(self, server: str, *, adopt: bool) -> Placement:
        self._remaining -= 1
        self._tried.add(server)
        return Placement(server, adopt=adopt)
