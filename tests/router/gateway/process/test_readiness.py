"""Readiness of a router and admission of requests, for any order of startup, pause and shutdown."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

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
from cornellead.gateway.ingress import ServingPhase
from cornellead.gateway.ingress import ServingState
from cornellead.gateway.process import AdminHandler
from cornellead.gateway.view import FleetView
from cornellead_core.metrics import Metrics
from cornellead_platform import PlatformHeaders

if TYPE_CHECKING:
    from collections.abc import Sequence

READY_PATH = "/ready"


class StatusRecorder:
    """Response writer that records the status of a complete response."""

    started = False

    def respond(self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes) -> None:
        self.status = status

    def begin(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        raise AssertionError

    async def write(self, data: bytes) -> None:
        raise AssertionError

    def end(self) -> None:
        raise AssertionError

    def abort(self) -> None:
        raise AssertionError


class ReadinessMachine(RuleBasedStateMachine):
    """Lets a router read configuration and servers, be paused and shut down, in any order."""

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.view = FleetView(router="r1")
        self.serving = ServingState()
        self.admission = Admission(view=self.view, serving=self.serving, max_config_age_s=2.0)
        self.admin = AdminHandler(
            view=self.view, serving=self.serving, metrics=Metrics(), ready_path=READY_PATH
        )
        self.phase = ServingPhase.RUNNING
        self.shutdown_started = False

    @rule()
    def receive_configuration(self) -> None:
        self.view.activate_config(make_config())
        self.view.confirmed_at = self.now

    @rule()
    def receive_servers(self) -> None:
        self.view.servers_loaded = True

    @rule(seconds=st.floats(0.1, 60.0))
    def pause(self, seconds: float) -> None:
        self.now += seconds

    @rule(phase=st.sampled_from(list(ServingPhase)))
    def advance(self, phase: ServingPhase) -> None:
        self.serving.advance(phase)
        self.phase = max(self.phase, phase)
        self.shutdown_started = self.shutdown_started or phase > ServingPhase.RUNNING

    @invariant()
    def ready_only_after_startup_and_before_shutdown(self) -> None:
        """Guards against new connections to a router that cannot serve or is shutting down."""
        started_up = self.view.config is not None and self.view.servers_loaded
        assert (self._ready_status() == 200) == (started_up and not self.shutdown_started)

    @invariant()
    def requests_are_admitted_until_the_refusing_phase(self) -> None:
        """Guards against refusals while the load balancer still sends requests, and against
        admitting requests that the process will not finish."""
        started_up = self.view.config is not None and self.view.servers_loaded
        should_admit = started_up and self.phase < ServingPhase.REFUSING
        assert self._admits() == should_admit

    def _ready_status(self) -> int:
        out = StatusRecorder()
        req = CallerRequest(b"GET", READY_PATH.encode(), [], b"", self.now)
        asyncio.run(self.admin.handle(req, out))
        return out.status

    def _admits(self) -> bool:
        headers = [
            (b"Host", HOST.encode()),
            (b"X-Request-Id", b"7f"),
            (b"X-Api-Key", KEY.encode()),
        ]
        req = CallerRequest(b"POST", b"/unsafe/1", headers, b"", self.now)
        caller = PlatformHeaders().decode_caller(headers)
        return isinstance(self.admission.admit(req, caller, now=self.now), AdmittedRequest)


ReadinessMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None
)
TestReadiness = ReadinessMachine.TestCase
