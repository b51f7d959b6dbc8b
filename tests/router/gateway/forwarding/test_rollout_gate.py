"""Choice among the versions of a service, and counting of their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import pytest
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry
from tests.router.gateway.builders import make_state

from cornellead.gateway.forwarding import AdmittedRequest
from cornellead.gateway.forwarding import NoServer
from cornellead.gateway.forwarding import ServerPicker
from cornellead.gateway.forwarding._outcome import BrokenResponse
from cornellead.gateway.forwarding._outcome import DeliveredResponse
from cornellead.gateway.forwarding._outcome import NotRunResponse
from cornellead.gateway.ingress import CallerRequest
from cornellead.gateway.policy import ColdStartLimiter
from cornellead.gateway.policy import RequestAttempts
from cornellead.gateway.policy import ServerRateLimiter
from cornellead.gateway.view import FleetView
from cornellead.gateway.view import ServerState
from cornellead_core.routing import RolloutOrder
from cornellead_core.routing import RolloutPhase
from cornellead_core.routing import RolloutRecord
from cornellead_platform import PlatformHeaders

if TYPE_CHECKING:
    from cornellead.gateway.forwarding._attempt import Attempt

ORDER = RolloutOrder("llm", "v2", 60.0, 1)
RECORD = RolloutRecord(1, "v2", RolloutPhase.RUNNING, 0.05, 0.0, announced=True)


class Router:
    """View and picker of a router that knows two servers of each version."""

    def __init__(self) -> None:
        self.view = FleetView(router="r1")
        self.view.activate_config(make_config())
        for name, version in (("a1", "v1"), ("a2", "v1"), ("b1", "v2"), ("b2", "v2")):
            self.view.servers.put(make_entry(name, version=version), now=0.0)
        self.picker = ServerPicker(
            view=self.view,
            cold_limiter=ColdStartLimiter(router="r1", burst=5.0),
            rate_limiter=ServerRateLimiter(router="r1"),
            data_centre="dc-a",
            regions={},
            load_factor=2.0,
        )

    def order(self, **changes: Any) -> None:
        self.view.rollouts.apply_order(ORDER, now=0.0)
        if changes:
            self.view.rollouts.apply_record("llm", RECORD._replace(**changes), now=0.0)

    def send(self, count: int = 100) -> int:
        """Send requests, and return how many went to the new version; refused ones count not."""
        new = 0
        for number in range(count):
            admitted = self.admit(number)
            picked = self.picker.pick(admitted, tried=(), now=0.0)
            if isinstance(picked, ServerState):
                admitted.attempts.count_send()
                self.picker.rollouts.record_sent(admitted)
                new += picked.entry.version == "v2"
        return new

    def admit(self, number: int = 0) -> AdmittedRequest:
        assert self.view.config is not None
        route = self.view.config.match("box.example", "/stream/1")
        assert route is not None
        return AdmittedRequest(
            req=CallerRequest(b"POST", b"/stream/1", [], b"", 0.0),
            caller=PlatformHeaders().decode_caller([]),
            route=route,
            service=self.view.config.services["llm"],
            team="",
            urgency=1,
            regions=frozenset(),
            affinity=f"chat-{number}",
            shared_tokens=0,
            parts=(),
            attempts=RequestAttempts(repeatable=False, max_attempts=2, deadline=10.0),
            config_version=1,
        )


@pytest.fixture
def router() -> Router:
    return Router()


def test_versions_are_alike_without_an_order(router: Router) -> None:
    """Guards against a service whose servers of another version get nothing."""
    assert router.send() == pytest.approx(50, abs=20)


def test_nothing_goes_to_the_version_before_the_state_was_read(router: Router) -> None:
    """Guards against a router that exposes requests while the state is unknown."""
    router.order()
    assert router.send() == 0


def test_version_gets_its_share(router: Router) -> None:
    """Guards against exposure above the share, and against none."""
    router.order(share=0.05)
    assert router.send(400) == 19


def test_moving_version_gets_all_within_the_limit(router: Router) -> None:
    """Guards against a move beyond the share of all requests since the order."""
    router.order(share=0.05)
    router.send(400)
    router.order(phase=RolloutPhase.MOVING, share=0.095)
    assert router.send(10) == 10
    router.send(40)
    assert router.send(100) <= 10


def test_completed_version_gets_all(router: Router) -> None:
    """Guards against requests to old servers, which are about to end."""
    router.order(phase=RolloutPhase.COMPLETED, share=1.0)
    assert router.send() == 100


def test_bad_version_gets_nothing_even_without_other_servers(router: Router) -> None:
    """Guards against requests to a version that was found to be bad."""
    router.order(share=0.05)
    rollout = router.view.rollouts.get("llm")
    assert rollout is not None
    router.view.rollouts.mark_bad(rollout, "all routes", source="r2")
    assert router.send() == 0
    router.view.servers.remove("a1", now=0.0)
    router.view.servers.remove("a2", now=0.0)
    assert isinstance(router.picker.pick(router.admit(), tried=(), now=0.0), NoServer)


def test_server_that_was_found_before_the_fault_is_not_used(router: Router) -> None:
    """Guards against a stream that moves to a bad version, since the fault was found while the
    connection was opened."""
    router.order(phase=RolloutPhase.MOVING, share=0.095)
    router.send(100)
    rollout, admitted = router.view.rollouts.get("llm"), router.admit()
    assert rollout is not None
    new, old = (router.view.servers.get(name) for name in ("b1", "a1"))
    assert new is not None and old is not None
    limiter = router.picker.rollouts._limiter(rollout)
    limiter.exposed = 0
    assert router.picker.may_send(admitted, new, now=0.0)
    router.view.rollouts.mark_bad(rollout, "all routes", source="r2")
    assert not router.picker.may_send(admitted, new, now=0.0)
    assert router.picker.may_send(admitted, old, now=0.0)


def test_unproved_version_serves_if_no_other_is_left(router: Router) -> None:
    """Guards against a service that refuses everything although servers are there."""
    router.order()
    router.view.servers.remove("a1", now=0.0)
    router.view.servers.remove("a2", now=0.0)
    assert router.send() == 100


def test_repeated_request_does_not_go_to_the_unproved_version(router: Router) -> None:
    """Guards against a bad version that is used up by retries."""
    router.order(share=0.05)
    router.send(100)
    admitted = router.admit()
    admitted.attempts.count_send()
    admitted.attempts.count_not_run()
    picked = router.picker.pick(admitted, tried=("a1", "a2"), now=0.0)
    assert isinstance(picked, ServerState) and picked.entry.version == "v1"


class _Attempt:
    """The fields of an attempt that are read."""

    def __init__(self, version: str, *, sent_at: float, first_byte_s: float | None) -> None:
        self.state = make_state("x", version=version)
        self.sent_at, self.first_byte_s = sent_at, first_byte_s


def test_responses_are_counted_by_version(router: Router) -> None:
    """Guards against refusals, one crash or callers who leave that count as bad responses."""
    router.order(share=0.05)
    gate, admitted = router.picker.rollouts, router.admit()

    def record(outcome: Any, version: str = "v2", *, seconds: float = 0.1, now: float) -> None:
        attempt = _Attempt(version, sent_at=now - seconds, first_byte_s=min(0.1, seconds))
        gate.record_outcome(admitted, cast("Attempt", attempt), outcome, now=now)

    for number in range(20):
        record(DeliveredResponse(200), "v1", now=1.0 + 0.1 * number)
    record(DeliveredResponse(200), now=4.0)
    record(DeliveredResponse(200), seconds=0.6, now=5.0)
    record(NotRunResponse(503), now=6.0)
    record(None, seconds=0.05, now=7.0)
    record(BrokenResponse("no_response"), now=8.0)
    record(BrokenResponse("no_response"), now=8.5)
    record(BrokenResponse("no_response"), now=9.5)
    rollout = router.view.rollouts.get("llm")
    assert rollout is not None
    assert rollout.own == {"stream": (4, 3, 20, 0)}


def test_request_without_a_response_counts_as_slow(router: Router) -> None:
    """Guards against a version that hangs and is never judged, since its callers leave."""
    router.order(share=0.05)
    gate, admitted = router.picker.rollouts, router.admit()
    for number in range(20):
        usual = cast("Attempt", _Attempt("v1", sent_at=0.1 * number, first_byte_s=0.1))
        gate.record_outcome(admitted, usual, DeliveredResponse(200), now=0.1 * number + 0.1)
    hanging = cast("Attempt", _Attempt("v2", sent_at=3.0, first_byte_s=None))
    gate.record_outcome(admitted, hanging, None, now=5.0)
    rollout = router.view.rollouts.get("llm")
    assert rollout is not None and rollout.own["stream"][:2] == (1, 1)


def test_versions_are_alike_after_a_completed_order_was_removed(router: Router) -> None:
    """Guards against servers of later versions that get nothing for good."""
    router.order(phase=RolloutPhase.COMPLETED, share=1.0)
    router.view.rollouts.withdraw("llm")
    assert router.send() == pytest.approx(50, abs=20)
