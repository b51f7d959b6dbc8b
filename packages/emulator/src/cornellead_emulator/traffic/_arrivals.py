"""Arrivals of requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.routing import PromptPart
from cornellead_emulator.traffic._chat_request import ChatRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from cornellead_emulator.simulation import EventQueue
    from cornellead_emulator.traffic._request_class import RequestClass

TOKENS_SPREAD = 0.6
"""Standard deviation of the logarithm of token counts."""
SESSION_SKEW = 0.3
"""Exponent of the popularity of sessions by rank."""


class HotChat(NamedTuple):
    """A session that gets a part of the requests of its class for a while."""

    kind: str
    share: float
    start_s: float
    end_s: float

    def covers(self, kind: str, now: float) -> bool:
        """Return whether it applies to a class of requests at a time in seconds."""
        return self.kind == kind and self.start_s <= now < self.end_s


class Arrivals:
    """Poisson arrivals of several classes; sessions differ in popularity and size.

    :param rate: Returns the factor on all rates at a time.
    :param emit: Takes each request.
    """

    def __init__(
        self,
        *,
        classes: Sequence[RequestClass],
        queue: EventQueue,
        rng: random.Random,
        rate: Callable[[float], float],
        emit: Callable[[ChatRequest], None],
        hot: HotChat | None = None,
    ) -> None:
        self._queue = queue
        self._rng = rng
        self._rate = rate
        self._emit = emit
        self._hot = hot
        self._count = 0
        self._sizes: dict[str, int] = {}
        for kind in classes:
            self._schedule(kind)

    def _schedule(self, kind: RequestClass) -> None:
        rate_per_s = kind.per_s * self._rate(self._queue.now)
        delay_s = self._rng.expovariate(rate_per_s) if rate_per_s > 0 else 1.0
        self._queue.after(delay_s, lambda: self._arrive(kind, due=rate_per_s > 0))

    def _arrive(self, kind: RequestClass, *, due: bool) -> None:
        self._schedule(kind)
        if not due:
            return
        self._count += 1
        session = self._session(kind)
        common = f"{kind.name}/common/{session % kind.common_parts}"
        own = f"{kind.name}/own/{self._count}"
        prompt = (
            PromptPart(common, self._size(common, kind.common_tokens)),
            PromptPart(f"{kind.name}/{session}", self._size(f"{session}", kind.session_tokens)),
            PromptPart(own, self._draw(kind.own_tokens)),
        )
        output = self._draw(kind.output_tokens)
        self._emit(ChatRequest(self._count, kind, prompt, output, self._queue.now))

    def _session(self, kind: RequestClass) -> int:
        hot = self._hot
        popular = hot is not None and hot.covers(kind.name, self._queue.now)
        if hot is not None and popular and self._rng.random() < hot.share:
            return 0
        # Inverse of the integral of rank ** -SESSION_SKEW.
        share = self._rng.random() ** (1.0 / (1.0 - SESSION_SKEW))
        return min(kind.sessions - 1, int(share * kind.sessions))

    def _size(self, part: str, mean: int) -> int:
        if part not in self._sizes:
            self._sizes[part] = self._draw(mean)
        return self._sizes[part]

    def _draw(self, mean: int) -> int:
        mu = math.log(mean) - TOKENS_SPREAD**2 / 2
        return max(1, round(self._rng.lognormvariate(mu, TOKENS_SPREAD)))
