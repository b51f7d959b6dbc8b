"""One round of placements of a chat."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead.fleet import ServerView


class Placement(NamedTuple):
    """A server to ask, and with which of the placement headers."""

    server: str
    adopt: bool = False
    fallback: bool = False


class PlacementPlan:
    """Goes down the preference order, follows hints, and ends with the least loaded server.

    :param order: Servers in preference order.
    :param attempts: Placements in the order before the fallback.
    :param returning: Whether the chat had an answer before; its first server is then asked even if
        it seems full, because it may know by a hint where the chat's cache is.
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
        self._left = attempts
        self._asked: set[str] = set()
        self._hint = ""
        self._again = ""
        self._fell_back = False

    def next(self, *, now: float) -> Placement | None:
        """Return the next placement, or ``None`` when the request has to wait.

        :param now: Monotonic seconds.
        """
        if self._again:
            server, self._again = self._again, ""
            return Placement(server)
        if self._fell_back:
            return None
        if self._left > 0:
            hint, self._hint = self._hint, ""
            if hint and self._open(hint, now):
                return self._ask(hint, adopt=False)
            usable = [server for server in self._order if self._open(server, now)]
            if usable:
                return self._ask(usable[0], adopt=self._left == 1 or len(usable) == 1)
        self._fell_back = True
        alive = [server for server in self._order if self._view.available(server, now=now)]
        if not alive:
            return None
        # min() keeps the first of equals, so the preference order breaks ties.
        server = min(alive, key=lambda name: self._view.relative_load(name, now=now))
        return Placement(server, adopt=True, fallback=True)

    def ask_again(self, server: str) -> None:
        """Ask this server next, without counting it as a further placement."""
        self._again = server

    def refused(self, reason: RefusalReason, hint: str) -> None:
        """Take a refusal into account."""
        if reason is RefusalReason.MOVED and hint in self._order and hint not in self._asked:
            self._hint = hint

    def _open(self, server: str, now: float) -> bool:
        if server in self._asked or not self._view.available(server, now=now):
            return False
        if self._returning and server == self._order[0]:
            return True
        return not self._view.full(server, batch=self._batch, now=now)

    def _ask(self, server: str, *, adopt: bool) -> Placement:
        self._left -= 1
        self._asked.add(server)
        return Placement(server, adopt=adopt)
