"""Which configuration is in force, and what a router may conclude from it."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from tests.router.gateway.builders import HOST
from tests.router.gateway.builders import KEY
from tests.router.gateway.builders import make_config

from cornellead.gateway.beliefs import FleetView
from cornellead.gateway.forwarding import Admission
from cornellead.gateway.forwarding import Job
from cornellead.gateway.ingress import CallerRequest
from cornellead.gateway.ingress import Serving
from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.sync import OperatorSink
from cornellead_core.metrics import Metrics
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import RoutingNotice
from cornellead_platform import PlatformHeaders

CONFIG_TRUST_S = 3.0
"""Age up to which a configuration may reject for good: its bound is 2 s and the time of a read."""
CURRENT_AGE_S = 2.0
"""Age up to which notices of another router are as good as the store's: the bound on changes."""


class ConfigLife(RuleBasedStateMachine):
    """A router that reads the store or other routers, loses both, and starts again.

    The model keeps the newest version that this incarnation saw and when the store last confirmed
    what the router has.
    """

    seen: int | None
    confirmed_at: float | None
    lost_at: float | None

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.published = 1
        self.restart()

    @rule()
    def restart(self) -> None:
        self.view = FleetView(router="r1")
        self.view.servers_known = True
        self.sink = OperatorSink(
            view=self.view, stats=GatewayStats(metrics=Metrics()), clock=lambda: self.now
        )
        self.admission = Admission(view=self.view, serving=Serving())
        self.seen = None
        self.confirmed_at = None
        self.lost_at = None

    @rule(seconds=st.floats(0.1, 5.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def publish(self) -> None:
        self.published += 1

    @rule(whole=st.booleans())
    def read_store(self, whole: bool) -> None:
        self._take(self.published, 0.0, whole=whole)

    @rule(behind=st.integers(0, 3), age_s=st.floats(0.0, 20.0))
    def read_other_router(self, behind: int, age_s: float) -> None:
        self._take(max(1, self.published - behind), age_s, whole=True)

    @rule()
    def read_unreadable(self) -> None:
        self.sink.take(NoticeBatch([RoutingNotice(None, "no version")], 1))
        self.confirmed_at = self.now
        self.lost_at = None

    @rule()
    def lose_store(self) -> None:
        self.sink.lose()
        if self.lost_at is None:
            self.lost_at = self.now

    @invariant()
    def version_is_the_newest_seen(self) -> None:
        """Guards against a configuration that goes back while the process runs."""
        version = self.view.config.version if self.view.config else None
        assert version == self.seen

    @invariant()
    def outage_lasts_until_a_current_read(self) -> None:
        """Guards against an outage that old notices of another router end."""
        lost_s = None if self.lost_at is None else self.now - self.lost_at
        assert self.view.outage_s(now=self.now) == lost_s

    @invariant()
    def rejections_for_good_need_a_confirmed_configuration(self) -> None:
        """Guards against 401 and 404 for what a newer configuration allows."""
        confirmed_at = self.confirmed_at
        proven = self.seen is not None and confirmed_at is not None
        fresh = proven and self.now - (confirmed_at or 0.0) <= CONFIG_TRUST_S
        assert self._status("/none/1", KEY) == (404 if fresh else 503)
        assert self._status("/unsafe/1", "other") == (401 if fresh else 503)
        assert self._status("/unsafe/1", KEY) == (None if self.seen is not None else 503)

    def _take(self, version: int, age_s: float, *, whole: bool) -> None:
        notice = RoutingNotice(make_config(version).data, "")
        batch = NoticeBatch([notice], version, age_s)
        if whole:
            self.sink.take_all(batch)
        else:
            self.sink.take(batch)
        self.seen = version if self.seen is None else max(self.seen, version)
        self.confirmed_at = self.now - age_s
        if age_s <= CURRENT_AGE_S:
            self.lost_at = None

    def _status(self, path: str, key: str) -> int | None:
        headers = [
            (b"Host", HOST.encode()),
            (b"X-Request-Id", b"7f"),
            (b"X-Api-Key", key.encode()),
        ]
        req = CallerRequest(b"POST", path.encode(), headers, b"", self.now)
        caller = PlatformHeaders().decode_caller(headers)
        admitted = self.admission.admit(req, caller, now=self.now)
        return None if isinstance(admitted, Job) else admitted.status


ConfigLife.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
TestConfigLife = ConfigLife.TestCase
