"""Selection of the servers to which a service call is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead.fleet import ServerView
    from cornellead_core.outcomes import Refusal

FINAL_REFUSALS = frozenset(
    {
        RefusalReason.LOG_UNAVAILABLE,
        RefusalReason.DEADLINE,
        RefusalReason.KEY_CONFLICT,
        RefusalReason.KEY_EXPIRED,
        RefusalReason.UNKNOWN_TARGET,
    }
)
"""Refusals that are not retried, because every server of the service would refuse as well."""


class ServicePlan:
    """Iterates over the servers in preference order and selects each at most once.

    A hint to the owner of the idempotency key takes precedence over the order.

    :param order: Servers in preference order.
    :param attempts: Maximum number of servers to select.
    """

    def __init__(
        self, *, order: Sequence[str], view: ServerView, attempts: int, batch: bool
    ) -> None:
        self._order = order
        self._view = view
        self._remaining = attempts
        self._batch = batch
        self._tried: set[str] = set()
        self._hint = ""

    def next(self, *, now: float) -> str | None:
        """Return the next server, or ``None`` if no server is left and the call has to wait.

        :param now: Monotonic time in seconds.
        """
        if self._remaining <= 0:
            return None
        hint, self._hint = self._hint, ""
        order = [hint, *self._order] if hint else self._order
        for server in order:
            if server in self._tried or not self._view.is_available(server, now=now):
                continue
            if self._view.is_full(server, batch=self._batch, now=now):
                continue
            self._remaining -= 1
            self._tried.add(server)
            return server
        return None

    def record_refusal(self, refusal: Refusal) -> None:
        """Make the owner that the refusing server named the next server to select."""
        if refusal.reason is RefusalReason.NOT_OWNER and refusal.hint in self._order:
            self._hint = refusal.hint
