"""Tests of the active configuration and of the requests that it allows a router to reject."""

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

from cornellead.gateway.forwarding import Admission
from cornellead.gateway.forwarding import AdmittedRequest
from cornellead.gateway.ingress import CallerRequest
from cornellead.gateway.ingress import ServingState
from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.sync import OperatorSink
from cornellead.gateway.view import FleetView
from cornellead_core.metrics import Metrics
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import RoutingNotice
from cornellead_platform import PlatformHeaders

CONFIG_MAX_AGE_S = 2.0
"""Maximum age of a configuration that may cause permanent rejections: the time within
which a change must take effect."""
CURRENT_AGE_S = 2.0
"""Maximum age at which notices of another router count as current: the time
within which a change must take effect."""


class ConfigStateMachine(RuleBasedStateMachine):
    """A router that reads the store or other routers, loses access to both, and restarts.

    The model keeps the newest version read since the last restart, whether the latest one read is
    older, and the time at which the store last confirmed the router's configuration: a store that
    came back from a copy, or a router that is behind, confirms nothing.
    """

    newest_version: int | None
    confirmed_at: float | None
    unavailable_since: float | None

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.published_version = 1
        self.restart()

    @rule()
    def restart(self) -> None:
        self.view = FleetView(router="r1")
        self.view.servers_loaded = True
        self.sink = OperatorSink(
            view=self.view, stats=GatewayStats(metrics=Metrics()), clock=lambda: self.now
        )
        self.admission = Admission(
            view=self.view, serving=ServingState(), max_config_age_s=CONFIG_MAX_AGE_S
        )
        self.newest_version = None
        self.confirmed_at = None
        self.unavailable_since = None
        self.behind = False

    @rule(seconds=st.floats(0.1, 5.0))
    def advance_clock(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def publish(self) -> None:
        self.published_version += 1

    @rule(snapshot=st.booleans())
    def read_store(self, snapshot: bool) -> None:
        self._apply(self.published_version, 0.0, snapshot=snapshot)

    @rule(versions_behind=st.integers(0, 3), age_s=st.floats(0.0, 20.0))
    def read_other_router(self, versions_behind: int, age_s: float) -> None:
        self._apply(max(1, self.published_version - versions_behind), age_s, snapshot=True)

    @rule()
    def read_unreadable_configuration(self) -> None:
        self.sink.apply_changes(NoticeBatch([RoutingNotice(None, "no version")], 1))
        if not self.behind:
            self.confirmed_at = self.now
        self.unavailable_since = None

    @rule()
    def mark_store_unavailable(self) -> None:
        self.sink.mark_unavailable()
        if self.unavailable_since is None:
            self.unavailable_since = self.now

    @invariant()
    def version_never_decreases(self) -> None:
        """Guards against a rollback to an older version while the process runs."""
        version = self.view.config.version if self.view.config else None
        assert version == self.newest_version

    @invariant()
    def outage_ends_with_a_current_read(self) -> None:
        """Guards against old notices of another router ending an outage."""
        expected_s = None if self.unavailable_since is None else self.now - self.unavailable_since
        assert self.view.outage_s(now=self.now) == expected_s

    @invariant()
    def permanent_rejection_requires_recent_configuration(self) -> None:
        """Guards against status 401 or 404 for a request that a newer configuration allows."""
        confirmed_at = self.confirmed_at
        confirmed = self.newest_version is not None and confirmed_at is not None
        recent = confirmed and self.now - (confirmed_at or 0.0) <= CONFIG_MAX_AGE_S
        assert self._status("/none/1", KEY) == (404 if recent else 503)
        assert self._status("/unsafe/1", "other") == (401 if recent else 503)
        assert self._status("/unsafe/1", KEY) == (None if self.newest_version is not None else 503)

    def _apply(self, version: int, age_s: float, *, snapshot: bool) -> None:
        notice = RoutingNotice(make_config(version).data, "")
        batch = NoticeBatch([notice], version, age_s)
        if snapshot:
            self.sink.apply_snapshot(batch)
        else:
            self.sink.apply_changes(batch)
        self.newest_version = (
            version if self.newest_version is None else max(self.newest_version, version)
        )
        self.behind = version < self.newest_version
        if not self.behind:
            self.confirmed_at = self.now - age_s
        if age_s <= CURRENT_AGE_S:
            self.unavailable_since = None

    def _status(self, path: str, key: str) -> int | None:
        headers = [
            (b"Host", HOST.encode()),
            (b"X-Request-Id", b"7f"),
            (b"X-Api-Key", key.encode()),
        ]
        req = CallerRequest(b"POST", path.encode(), headers, b"", self.now)
        caller = PlatformHeaders().decode_caller(headers)
        admitted = self.admission.admit(req, caller, now=self.now)
        return None if isinstance(admitted, AdmittedRequest) else admitted.status


ConfigStateMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestConfigStateMachine = ConfigStateMachine.TestCase
