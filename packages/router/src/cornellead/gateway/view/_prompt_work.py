"""Prompts at one server: the tokens that they hold, and those whose prefill is pending."""

from __future__ import annotations

from typing import NamedTuple

from cornellead.gateway.gossip import MAX_HEARD_ROUTERS

REPORT_MAX_AGE_S = 1.0
"""Maximum age of another router's report that is used: a prefill takes a fraction of a second."""


class PromptLoad(NamedTuple):
    """What a request's prompt costs its server."""

    tokens: int = 0
    """Tokens that the prompt holds in the server's memory."""
    uncached: int = 0
    """Tokens that the server is expected to prefill."""
    new_tokens: int = 0
    """Tokens of a prompt that this router has not sent before, which may be cached nevertheless;
    0 for a known one."""


class PrefillSample(NamedTuple):
    """Prefill that ended, with what was pending before it."""

    earlier_tokens: int
    """Tokens that were pending when the request was sent."""
    new_tokens: int
    """Tokens of the prompt if this router had not sent it before, otherwise 0."""
    seconds: float


class _Pending(NamedTuple):
    tokens: int
    tokens_with_earlier: int
    new_tokens: int
    sent_at: float


class PromptWork:
    """Prompts that this router sent to a server, and the pending prefill that others reported.

    >>> work = PromptWork()
    >>> work.start(1, PromptLoad(900, 800), now=0.0)
    >>> work.start(2, PromptLoad(700, 100), now=0.1)
    >>> work.held_tokens, work.own_pending_tokens
    (1600, 900)
    >>> work.end_prefill(2, now=0.2).earlier_tokens, work.own_pending_tokens
    (800, 800)
    >>> work.finish(1)
    >>> work.held_tokens, work.own_pending_tokens
    (700, 0)
    """

    def __init__(self) -> None:
        self._held: dict[int, int] = {}
        self._pending: dict[int, _Pending] = {}
        self._reports: dict[str, tuple[float, int]] = {}
        self.held_tokens = 0
        """Tokens of the prompts of this router's requests at the server."""
        self.own_pending_tokens = 0
        """Tokens of this router's requests whose prefill is pending."""

    @property
    def requests(self) -> int:
        """Number of this router's requests with a prompt at the server."""
        return len(self._held)

    @property
    def has_pending(self) -> bool:
        """Whether prefill may be pending."""
        return bool(self._pending or self._reports)

    def start(self, request: int, prompt: PromptLoad, *, now: float) -> None:
        """Add a request that is sent to the server.

        :param now: Seconds.
        """
        if prompt.tokens <= 0:
            return
        self._held[request] = prompt.tokens
        self.held_tokens += prompt.tokens
        if prompt.uncached > 0:
            self.own_pending_tokens += prompt.uncached
            self._pending[request] = _Pending(
                prompt.uncached, self.own_pending_tokens, prompt.new_tokens, now
            )

    def end_prefill(self, request: int, *, now: float) -> PrefillSample | None:
        """Record the first event of a request.

        :returns: How long its prefill took; ``None`` if it has ended before.
        """
        pending = self._pending.pop(request, None)
        if pending is None:
            return None
        self.own_pending_tokens -= pending.tokens
        earlier = pending.tokens_with_earlier - pending.tokens
        return PrefillSample(earlier, pending.new_tokens, now - pending.sent_at)

    def finish(self, request: int) -> None:
        """Remove a request, also one that ended without an event."""
        self.held_tokens -= self._held.pop(request, 0)
        pending = self._pending.pop(request, None)
        if pending is not None:
            self.own_pending_tokens -= pending.tokens

    def record_report(self, router: str, tokens: int, *, now: float) -> None:
        """Store the pending prefill that another router reported, in place of its last report."""
        # The latest report comes last, so that the expired ones come first.
        self._reports.pop(router, None)
        self._evict(now)
        if tokens and len(self._reports) < MAX_HEARD_ROUTERS:
            self._reports[router] = (now, tokens)

    def pending_tokens(self, *, tokens_per_s: float, now: float) -> float:
        """Return the expected pending tokens of all routers that are known of.

        The requests of this router count until their first events. What others reported is less the
        older the reports are, since the server goes on.

        :param tokens_per_s: Rate at which the server prefills.
        """
        self._evict(now)
        reported, weighted_age = 0, 0.0
        for at, tokens in self._reports.values():
            reported += tokens
            weighted_age += (now - at) * tokens
        if not reported:
            return float(self.own_pending_tokens)
        left = reported - weighted_age / reported * tokens_per_s
        return self.own_pending_tokens + max(0.0, left)

    def _evict(self, now: float) -> None:
        while self._reports:
            router, (at, _) = next(iter(self._reports.items()))
            if now - at <= REPORT_MAX_AGE_S:
                return
            del self._reports[router]
