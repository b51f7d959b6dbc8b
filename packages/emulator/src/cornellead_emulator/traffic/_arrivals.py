"""Arrival process of the emulated requests."""

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

TOKEN_COUNT_LOG_STDDEV = 0.6
"""Standard deviation of the logarithm of token counts."""
SESSION_POPULARITY_EXPONENT = 0.3
"""Exponent s of the popularity of sessions, which is proportional to rank ** -s."""


class HotChat(NamedTuple):
    """A session that receives a fixed share of the requests of its class for some time."""

    class_name: str
    """Name of the request class."""
    share: float
    """Fraction of the requests of the class that belong to the session."""
    start_s: float
    end_s: float

    def is_active(self, class_name: str, now: float) -> bool:
        """Return whether the session is hot in a class of requests at a time in seconds."""
        return self.class_name == class_name and self.start_s <= now < self.end_s


class Arrivals:
    """Poisson arrivals of several classes of requests.

    Sessions differ in popularity and in the number of tokens of their prompts.

    :param rate_factor: Returns the factor by which all rates are multiplied at a time in seconds.
    :param on_request: Called with each request.
    """

    def __init__(
        self,
        *,
        classes: Sequence[RequestClass],
        queue: EventQueue,
        rng: random.Random,
        rate_factor: Callable[[float], float],
        on_request: Callable[[ChatRequest], None],
        hot_chat: HotChat | None = None,
    ) -> None:
        self._queue = queue
        self._rng = rng
        self._rate_factor = rate_factor
        self._on_request = on_request
        self._hot_chat = hot_chat
        self._request_count = 0
        self._shared_part_tokens: dict[str, int] = {}
        for request_class in classes:
            self._schedule(request_class)

    def _schedule(self, request_class: RequestClass) -> None:
        rate_per_s = request_class.per_s * self._rate_factor(self._queue.now)
        # While the rate is 0, it is checked again every second.
        delay_s = self._rng.expovariate(rate_per_s) if rate_per_s > 0 else 1.0
        self._queue.schedule_after(delay_s, lambda: self._arrive(request_class, due=rate_per_s > 0))

    def _arrive(self, request_class: RequestClass, *, due: bool) -> None:
        self._schedule(request_class)
        if not due:
            return
        self._request_count += 1
        session = self._draw_session(request_class)
        common_part = f"{request_class.name}/common/{session % request_class.common_parts}"
        own_part = f"{request_class.name}/own/{self._request_count}"
        prompt = (
            PromptPart(
                common_part, self._tokens_of_shared_part(common_part, request_class.common_tokens)
            ),
            PromptPart(
                f"{request_class.name}/{session}",
                self._tokens_of_shared_part(f"{session}", request_class.session_tokens),
            ),
            PromptPart(own_part, self._draw_tokens(request_class.own_tokens)),
        )
        output_tokens = self._draw_tokens(request_class.output_tokens)
        self._on_request(
            ChatRequest(self._request_count, request_class, prompt, output_tokens, self._queue.now)
        )

    def _draw_session(self, request_class: RequestClass) -> int:
        hot_chat = self._hot_chat
        is_hot = hot_chat is not None and hot_chat.is_active(request_class.name, self._queue.now)
        if hot_chat is not None and is_hot and self._rng.random() < hot_chat.share:
            return 0
        # Inverse transform sampling: inverts the integral of rank ** -SESSION_POPULARITY_EXPONENT.
        rank_fraction = self._rng.random() ** (1.0 / (1.0 - SESSION_POPULARITY_EXPONENT))
        return min(request_class.sessions - 1, int(rank_fraction * request_class.sessions))

    def _tokens_of_shared_part(self, part: str, mean: int) -> int:
        """Return the tokens of a part, which stay the same for all requests that share it."""
        if part not in self._shared_part_tokens:
            self._shared_part_tokens[part] = self._draw_tokens(mean)
        return self._shared_part_tokens[part]

    def _draw_tokens(self, mean: int) -> int:
        """Draw a log-normal token count with the given mean."""
        mu = math.log(mean) - TOKEN_COUNT_LOG_STDDEV**2 / 2
        return max(1, round(self._rng.lognormvariate(mu, TOKEN_COUNT_LOG_STDDEV)))
