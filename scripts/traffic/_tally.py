"""Outcomes of requests and violated guarantees."""

from __future__ import annotations

from collections import Counter


class Tally:
    """Outcomes, errors, token counts and violated guarantees, as observed by the callers."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Set all counts to zero, for example after a warm-up."""
        self.requests = 0
        self.completed = 0
        self.refused_not_run = 0
        self.unknown = 0
        self.truncated_streams = 0
        self.attempts = 0
        self.cached_tokens = 0
        self.reusable_tokens = 0
        self.first_token_s: list[float] = []
        self.violations: list[str] = []
        """Descriptions of violated guarantees."""
        self.error_counts: Counter[str] = Counter()
        """Number of errors by status and code, or by the type of the exception."""
        self.outcome_by_call: dict[str, str] = {}
        """Final outcome by ``operation/key``: ``completed``, ``not_run`` or ``unknown``."""

    @property
    def prompt_reuse(self) -> float:
        """Fraction of the reusable prompt tokens that the engines had cached; 0 to 1."""
        return self.cached_tokens / self.reusable_tokens if self.reusable_tokens else 0.0

    def record_outcome(self, outcome: str) -> None:
        """Count a request by its outcome after all attempts."""
        self.requests += 1
        if outcome == "completed":
            self.completed += 1
        elif outcome == "not_run":
            self.refused_not_run += 1
        elif outcome == "unknown":
            self.unknown += 1

    def check_effects(self, effects: dict[str, int]) -> int:
        """Check the effects at the services against the outcomes that the callers received.

        :param effects: Number of effects by ``operation/key``.
        :returns: Number of duplicate effects.
        """
        duplicates = 0
        for name, outcome in self.outcome_by_call.items():
            count = effects.get(name, 0)
            duplicates += max(0, count - 1)
            if count > 1:
                self.violations.append(f"{name} took effect {count} times")
            if outcome == "not_run" and count:
                self.violations.append(f"{name} was refused as not_run but took effect")
            if outcome == "completed" and not count:
                self.violations.append(f"{name} completed without an effect")
        return duplicates

    def first_token_quantile_ms(self, fraction: float) -> float:
        """Return a quantile of the time to first token in milliseconds; 0 without streams."""
        if not self.first_token_s:
            return 0.0
        ordered = sorted(self.first_token_s)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] * 1000
