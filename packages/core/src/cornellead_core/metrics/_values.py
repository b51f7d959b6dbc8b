"""Counters and gauges that need no library until they are rendered."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence


class Sample(NamedTuple):
    """Current value of a metric for one combination of label values."""

    labels: tuple[str, ...]
    value: float
    created_at: float
    """Unix time in seconds at which the combination was first used."""


class Counter:
    """Number that only grows, for each combination of label values.

    >>> requests = Counter("requests", "Requests by status", ["status"])
    >>> requests.labels("200").inc()
    >>> [(sample.labels, sample.value) for sample in requests.samples()]
    [(('200',), 1.0)]
    """

    def __init__(self, name: str, documentation: str, label_names: Sequence[str]) -> None:
        self.name = name
        self.documentation = documentation
        self.label_names = tuple(label_names)
        self._children: dict[tuple[str, ...], Counter] = {}
        self._value = 0.0
        self._created_at = time.time()

    def labels(self, *values: str) -> Counter:
        """Return the counter for these label values."""
        child = self._children.get(values)
        if child is None:
            child = self._children[values] = Counter(self.name, self.documentation, ())
        return child

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount, which is not negative."""
        self._value += amount

    def samples(self) -> Iterator[Sample]:
        """Yield the value of each combination of label values."""
        if not self.label_names:
            yield Sample((), self._value, self._created_at)
        for values, child in self._children.items():
            yield Sample(values, child._value, child._created_at)


class Gauge:
    """Number that is set, or read when it is rendered, for each combination of label values.

    >>> servers = Gauge("servers", "Listed servers", [])
    >>> servers.set_function(lambda: 3)
    >>> [sample.value for sample in servers.samples()]
    [3.0]
    """

    def __init__(self, name: str, documentation: str, label_names: Sequence[str]) -> None:
        self.name = name
        self.documentation = documentation
        self.label_names = tuple(label_names)
        self._children: dict[tuple[str, ...], Gauge] = {}
        self._read: Callable[[], float] = float
        self._created_at = time.time()

    def labels(self, *values: str) -> Gauge:
        """Return the gauge for these label values."""
        child = self._children.get(values)
        if child is None:
            child = self._children[values] = Gauge(self.name, self.documentation, ())
        return child

    def set(self, value: float) -> None:
        """Set the value."""
        self._read = lambda: value

    def set_function(self, read: Callable[[], float]) -> None:
        """Set a function that returns the value when it is rendered."""
        self._read = read

    def samples(self) -> Iterator[Sample]:
        """Yield the value of each combination of label values."""
        if not self.label_names:
            yield Sample((), float(self._read()), self._created_at)
        for values, child in self._children.items():
            yield Sample(values, float(child._read()), child._created_at)
