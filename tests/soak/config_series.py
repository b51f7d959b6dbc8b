"""Configuration changes of the soak test, published in series, and the check of their effect."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.platform_adapter import payloads

if TYPE_CHECKING:
    import random

    from tests.platform_adapter.fake_store import FakeStore

MAX_CONFIG_DELAY_S = 3.0
"""Time within which a change has to be in force at a gateway, counted from the change or from the
end of the last fault of this gateway."""
LARGE_ROUTE_COUNT = 2000
IDLE_TIMEOUTS_MS = (500, 2_000, 15_000)
HEADER_TIMEOUTS_MS = (1_000, 3_000, 10_000)
ROUTE_TIMEOUTS_MS = (2_500, 5_000, 10_000)
"""No shorter than the deadlines of the callers."""
NOT_FOUND = 404


class AddedRoute(NamedTuple):
    """Route that a version of the configuration adds."""

    version: int
    published_at: float

    @property
    def name(self) -> str:
        """Name and path of the route."""
        return f"added{self.version}"


class ConfigSeries:
    """Publishes configurations, each with one more route, and checks which of them gateways serve.

    :param routes: Routes of the first version, which stay in all later ones.
    """

    def __init__(
        self, *, store: FakeStore, rng: random.Random, routes: list[dict[str, object]]
    ) -> None:
        self._store = store
        self._rng = rng
        self._routes = routes
        self._kept_routes = len(routes)
        self._added: list[AddedRoute] = []
        self._served: dict[int, int] = {}
        """Highest version whose route each gateway process knew, by process id."""
        self._disturbed_at: dict[int, float] = {}
        self._version = 7
        self._limits = {"idle_timeout_ms": IDLE_TIMEOUTS_MS[-1]}
        self._idle_timeouts_s: dict[int, float] = {}
        """Idle timeout of each version."""
        self._publish()

    @property
    def newest(self) -> AddedRoute | None:
        """The route that was added last."""
        return self._added[-1] if self._added else None

    def choose(self) -> AddedRoute | None:
        """Return one of the latest added routes."""
        return self._rng.choice(self._added[-3:]) if self._added else None

    def publish_series(self) -> int:
        """Publish a few versions at once, some of them large, and return their number."""
        count = self._rng.randint(1, 6)
        self._limits = {
            "idle_timeout_ms": self._rng.choice(IDLE_TIMEOUTS_MS),
            "header_timeout_ms": self._rng.choice(HEADER_TIMEOUTS_MS),
        }
        for route in self._routes[: self._kept_routes]:
            route["timeout_ms"] = self._rng.choice(ROUTE_TIMEOUTS_MS)
        if self._rng.random() < 0.5:
            self._add_plain_routes()
        for _ in range(count):
            self._version += self._rng.randint(1, 3)
            added = AddedRoute(self._version, time.monotonic())
            self._routes.append(
                self._routes[0] | {"name": added.name, "path_prefix": f"/{added.name}/"}
            )
            self._added.append(added)
            self._publish()
        return count

    def idle_timeout_s(self, process_id: int) -> float:
        """Return the shortest idle timeout that may be in force in a gateway process, in seconds.

        A process that has served a route of a version never goes back to an earlier one.
        """
        served = self._served.get(process_id, 0)
        return min(
            timeout_s for version, timeout_s in self._idle_timeouts_s.items() if version >= served
        )

    def record_disturbance(self, gateway: int) -> None:
        """Record that a fault hits a gateway now, or has just ended there."""
        self._disturbed_at[gateway] = time.monotonic()

    def find_violation(
        self, gateway: int, process_id: int, route: AddedRoute, status: int, *, sent_at: float
    ) -> str:
        """Check a response on an added route; return what it violates, or an empty string.

        :param sent_at: Time of the request in monotonic seconds.
        """
        if status != NOT_FOUND:
            if status == 200:
                known = self._served.get(process_id, 0)
                self._served[process_id] = max(known, route.version)
            return ""
        if self._served.get(process_id, 0) >= route.version:
            return f"version {self._served[process_id]} was in force, {route.name} is unknown"
        undisturbed_since = max(self._disturbed_at.get(gateway, 0.0), route.published_at)
        if sent_at > undisturbed_since + MAX_CONFIG_DELAY_S:
            return (
                f"{route.name} is unknown {sent_at - route.published_at:.1f} s after it was added"
            )
        return ""

    def _add_plain_routes(self) -> None:
        first = len(self._routes)
        if first > LARGE_ROUTE_COUNT:
            return
        large = payloads.large_operator_config(1, route_count=LARGE_ROUTE_COUNT)
        self._routes.extend(large["routes"])

    def _publish(self) -> None:
        config = payloads.operator_config(self._version, keys=(), routes=self._routes)
        config["limits"] |= self._limits
        self._idle_timeouts_s[self._version] = self._limits["idle_timeout_ms"] / 1000
        self._store.put("keyed.op", "config", config)
