"""The soak test's checks of leaving servers and of pauses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.gateway_harness import CallerResponse
from tests.soak.server_notices import ServerNotices

if TYPE_CHECKING:
    from tests.soak.requests import Violation

LEAVING = CallerResponse(
    200, "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nX-Soak-Server: s1\r\n\r\n", b"", True
)


class Bench:
    """Notices on a simulated clock."""

    def __init__(self, *, restarted: bool = False, disturbed: bool = False) -> None:
        self.now = 100.0
        self.violations: list[Violation] = []
        self.notices = ServerNotices(
            was_restarted=lambda *_: restarted,
            was_disturbed=lambda *_: disturbed,
            violations=self.violations,
            clock=lambda: self.now,
        )
        self._count = 0

    def send(self, *, gateway: str = "g1", server: str = "s1", travel_s: float = 0.0) -> str:
        """Send a request and let it reach a server."""
        self._count += 1
        request_id = str(self._count)
        self.notices.record_sent(gateway, request_id)
        self.now += travel_s
        self.notices.check_arrival(server, request_id)
        return request_id


@pytest.mark.parametrize("after_s, expected", [(1.9, 0), (2.1, 1)])
def test_request_for_a_leaving_server_is_found(after_s: float, expected: int) -> None:
    """Guards against a soak that accepts requests for servers that said they are leaving."""
    bench = Bench()
    bench.send()
    bench.notices.record_response("g1", LEAVING)
    bench.now += after_s
    bench.send(travel_s=0.5)
    bench.send(gateway="g2")
    bench.send(server="s2")
    assert len(bench.violations) == expected


def test_restart_and_a_new_process_excuse_requests_for_a_leaving_server() -> None:
    """Guards against a soak that fails for what a restarted gateway or server can't know."""
    for bench, forgets in ((Bench(restarted=True), False), (Bench(), True)):
        bench.send()
        bench.notices.record_response("g1", LEAVING)
        if forgets:
            bench.notices.forget("s1")
        bench.now += 9.0
        bench.send()
        assert not bench.violations


@pytest.mark.parametrize("requests, expected", [(2, 0), (3, 1), (9, 1)])
@pytest.mark.parametrize("after_s", [0.6, 2.9])
def test_more_than_two_requests_in_a_pause_are_found(
    after_s: float, requests: int, expected: int
) -> None:
    """Guards against a soak that accepts requests for servers that asked for a pause."""
    bench = Bench()
    bench.notices.record_pause("s1", bench.send(), 3.0)
    bench.now += after_s
    for _ in range(requests):
        bench.send()
        bench.send(gateway="g2")
    assert len(bench.violations) == expected


@pytest.mark.parametrize("after_s", [0.4, 3.1])
def test_requests_outside_a_pause_are_accepted(after_s: float) -> None:
    """Guards against a soak that fails for requests that gateways may send."""
    bench = Bench()
    bench.notices.record_pause("s1", bench.send(), 3.0)
    bench.now += after_s
    for _ in range(5):
        bench.send()
    assert not bench.violations


@pytest.mark.parametrize("excuse", ["restarted", "disturbed"])
def test_faults_excuse_requests_in_a_pause(excuse: str) -> None:
    """Guards against a soak that fails for refusals that a gateway never read."""
    bench = Bench(restarted=excuse == "restarted", disturbed=excuse == "disturbed")
    bench.notices.record_pause("s1", bench.send(), 3.0)
    bench.now += 1.0
    for _ in range(5):
        bench.send()
    assert not bench.violations
