"""Rates at which the servers of each service prefill prompts, learned from first events."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead.gateway.view._prompt_work import PrefillSample

MIN_SAMPLE_TOKENS = 4000
"""Tokens below which a prefill teaches nothing: its time is that of the network and of a few
steps of the server."""
MIN_SAMPLES = 8
STEP = 0.1
"""Largest relative change of the learned rate by one sample."""
QUANTILE = 1 / 3
"""Share of the samples below the learned rate. A prompt that this router sees for the first time
may be cached because of another router's requests, and then seems to be prefilled many times as
fast; queues make samples slower. If hardly any prompt is prefilled as a whole, the rate becomes too
high, so servers are avoided too rarely, at a time when prefill delays few."""
CACHED_RATE_FACTOR = 2.0
"""Multiple of the learned rate above which a prompt seems to have been cached."""
CACHED_WEIGHT = 0.1
"""Weight of the latest sample in the share of cached prompts."""


class PrefillRates:
    """Learned prefill rates by service, for machines on which work takes the usual time.

    >>> from cornellead.gateway.view import PrefillSample
    >>> rates = PrefillRates()
    >>> for _ in range(MIN_SAMPLES):
    ...     rates.record("models", PrefillSample(0, 10_000, 0.1), factor=1.0)
    >>> rates.tokens_per_s("models"), rates.tokens_per_s("others") is None
    (100000.0, True)
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._samples: dict[str, int] = {}
        self._cached_shares: dict[str, float] = {}

    def record(self, service: str, sample: PrefillSample, *, factor: float) -> None:
        """Add a prefill that has ended.

        :param factor: Work factor of the server.
        """
        if sample.new_tokens < MIN_SAMPLE_TOKENS or sample.seconds <= 0:
            return
        rate = (sample.earlier_tokens + sample.new_tokens) / sample.seconds * factor
        known = self._rates.get(service, rate)
        if rate > known:
            known = min(rate, known * (1.0 + STEP * QUANTILE))
        else:
            known = max(rate, known * (1.0 - STEP * (1.0 - QUANTILE)))
        self._rates[service] = known
        cached = float(rate > CACHED_RATE_FACTOR * known)
        share = self._cached_shares.get(service, 0.0)
        self._cached_shares[service] = share + CACHED_WEIGHT * (cached - share)
        self._samples[service] = self._samples.get(service, 0) + 1

    def cached_share(self, service: str) -> float:
        """Return the share of the long prompts new to this router that were cached nevertheless."""
        return self._cached_shares.get(service, 0.0)

    def tokens_per_s(self, service: str) -> float | None:
        """Return the learned rate; ``None`` before `MIN_SAMPLES` prefills."""
        if self._samples.get(service, 0) < MIN_SAMPLES:
            return None
        return self._rates[service]
