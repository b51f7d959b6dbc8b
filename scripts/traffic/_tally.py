"""Counts of answers and of broken promises."""

from __future__ import annotations

from collections import Counter


class Tally:
    """What callers saw."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget all counts."""
        self.requests = 0
        self.completed = 0
        self.refused_not_run = 0
        self.unknown = 0
        self.cut = 0
        self.attempts = 0
        self.cached_tokens = 0
        self.reusable_tokens = 0
        self.first_token_s: list[float] = []
        self.broken: list[str] = []
        """Broken promises, in words."""
        self.codes: Counter[str] = Counter()
        """Errors by code."""
        self.keys: dict[str, str] = {}
        """Last outcome by ``operation/key``: ``completed``, ``not_run`` or ``unknown``."""

    @property
    def prompt_reuse(self) -> float:
        """Cached prompt tokens of returning turns, as a share of the best possible."""
        return self.cached_tokens / self.reusable_tokens if self.reusable_tokens else 0.0

    def count_final(self, outcome: str) -> None:
        """Count the outcome of a request after all attempts."""
        self.requests += 1
        if outcome == "completed":
            self.completed += 1
        elif outcome == "not_run":
            self.refused_not_run += 1
        elif outcome == "unknown":
            self.unknown += 1

    def check_effects(self, effects: dict[str, int]) -> int:
        """Compare effects at the services with the outcomes; returns the duplicate effects.

        :param effects: Number of effects by ``operation/key``.
        """
        duplicates = 0
        for name, outcome in self.keys.items():
            count = effects.get(name, 0)
            duplicates += max(0, count - 1)
            if count > 1:
                self.broken.append(f"{name} took effect {count} times")
            if outcome == "not_run" and count:
                self.broken.append(f"{name} was refused as not_run but took effect")
            if outcome == "completed" and not count:
                self.broken.append(f"{name} completed without an effect")
        return duplicates

    def first_token_ms(self, fraction: float) -> float:
        """Return a quantile of the time to first token, in milliseconds."""
        if not self.first_token_s:
            return 0.0
        ordered = sorted(self.first_token_s)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] * 1000
