"""How long work takes on the machine of a server, as its responses report it."""

from __future__ import annotations

MAX_AGE_S = 5.0
"""Age after which a factor is unknown. Of 38 routers in front of 22 servers, each gets a response
of a given server about every six seconds in calm; a slow server that gets no requests counts as
usual again after this time, so that a few requests find out whether it has recovered."""
HALF_LIFE_S = 0.3
"""Half-life of the weight of a factor. It changes many times a second, while a request that is
placed by it takes from some tens of milliseconds to a second."""
MEAN_HALF_LIFE_S = 3.0
"""Half-life of the weight of a factor in `WorkFactor.mean`: homes of chats that follow each change
are different ones for each router, and their prompts are copied back and forth."""
MAX_MEAN_WEIGHT = 0.2
"""Maximum weight of one factor in `WorkFactor.mean`, also after a time without any."""
MEASURED_SAMPLE_WEIGHT = 0.2
"""Weight of the latest factor in `WorkFactor.measured`; the same as for latencies."""
USUAL = 1.0


class WorkFactor:
    """Smoothed work factor of one server.

    >>> work = WorkFactor()
    >>> work.value(now=0.0)
    1.0
    >>> work.record(2.5, now=0.0)
    >>> work.value(now=4.0), work.value(now=6.0)
    (2.5, 1.0)
    """

    def __init__(self) -> None:
        self._value = USUAL
        self._measured = USUAL
        self.mean = USUAL
        """Mean over some seconds, including what other routers received; 1 if nothing is known."""
        self._recorded_at: float | None = None
        self._heard_at = float("-inf")

    def record(self, factor: float, *, now: float) -> None:
        """Add the factor of a response.

        :param factor: Multiple of the usual time that work takes.
        :param now: Seconds.
        """
        if self._heard_at == float("-inf"):
            self._measured = factor
        else:
            self._measured += MEASURED_SAMPLE_WEIGHT * (factor - self._measured)
        self._add_to_mean(factor, at=now)
        if self._recorded_at is None:
            self._value = factor
        else:
            old_share = 0.5 ** (max(0.0, now - self._recorded_at) / HALF_LIFE_S)
            # Responses that arrive together count as one sample each of equal weight.
            old_share = min(old_share, 1.0 - MEASURED_SAMPLE_WEIGHT)
            self._value += (1.0 - old_share) * (factor - self._value)
        self._recorded_at = self._heard_at = now

    def record_report(self, factor: float, *, at: float) -> None:
        """Use the factor that another router received, unless a later one is known.

        :param at: Time of the response, in seconds.
        """
        if self._recorded_at is None or at > self._recorded_at:
            self._add_to_mean(factor, at=at)
            self._value, self._recorded_at = factor, at

    def _add_to_mean(self, factor: float, *, at: float) -> None:
        if self._recorded_at is None:
            self.mean = factor
            return
        weight = 1.0 - 0.5 ** (max(0.0, at - self._recorded_at) / MEAN_HALF_LIFE_S)
        self.mean += min(MAX_MEAN_WEIGHT, weight) * (factor - self.mean)

    def age_s(self, *, now: float) -> float:
        """Return the age of the latest factor that this router received from the server itself."""
        return max(0.0, now - self._heard_at)

    def value(self, *, now: float) -> float:
        """Return the factor; 1 if it is unknown."""
        known = self._recorded_at is not None and now - self._recorded_at <= MAX_AGE_S
        return self._value if known else USUAL

    def drift(self, *, now: float) -> float:
        """Return the factor as a multiple of its mean over the latest responses.

        Measured latencies and durations contain the factors of the time at which they were
        measured, and are multiplied by this to give those to expect now.
        """
        return self.value(now=now) / self._measured
