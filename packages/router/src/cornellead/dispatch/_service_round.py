"""Order in which servers are asked for one service call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead.fleet import ServerView
    from cornellead_core.outcomes import Refusal

FINAL = frozenset(
    {
        RefusalReason.LOG_UNAVAILABLE,
        RefusalReason.DEADLINE,
        RefusalReason.KEY_CONFLICT,
        RefusalReason.KEY_EXPIRED,
        RefusalReason.UNKNOWN_TARGET,
    }
)
"""Refusals that any other server of the service would give as well."""


class ServiceRound:
    """Asks each server at most once, following hints to the owner of a key.

    :param order: Servers in preference order.
    :param attempts: Servers asked at most.
    """

    def __init__(
        self, *, order: Sequence[str], view: ServerView, attempts: int, batch: bool
    ) -> None:
        self._order = order
        self._view = view
        self._left = attempts
        self._batch = batch
        self._asked: set[str] = set()
        self._hint = ""

    def next(self, *, now: float) -> str | None:
        """Return the next server, or ``None`` when the call has to wait.

        :param now: Monotonic seconds.
        """
        if self._left <= 0:
            return None
        hint, self._hint = self._hint, ""
        order = [hint, *self._order] if hint else self._order
        for server in order:
            if server in self._asked or not self._view.available(server, now=now):
                continue
            if self._view.full(server, batch=self._batch, now=now):
                continue
            self._left -= 1
            self._asked.add(server)
            return server
        return None

    def refused(self, refusal: Refusal) -> None:
        """Take a refusal into account."""
        if refusal.reason is RefusalReason.NOT_OWNER and refusal.hint in self._order:
            self._hint = refusal.hint
