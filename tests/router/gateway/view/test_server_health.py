"""Tests of the health of servers that fail or become unresponsive."""

from __future__ import annotations

from cornellead.gateway.view import ServerHealth


def test_server_that_sends_on_any_request_is_responsive() -> None:
    """Guards against avoiding a busy server because one of its responses takes long."""
    health = ServerHealth(now=0.0)
    health.start_request(1, now=0.0)
    health.record_data_received(now=1.9)
    assert health.responsive(now=2.5)
    assert not health.responsive(now=3.0)
    health.finish_request(1)
    assert health.responsive(now=9.0)


def test_failures_decay_within_seconds() -> None:
    """Guards against a server that receives no requests after its recovery."""
    health = ServerHealth(now=0.0)
    for _ in range(20):
        health.record_outcome(ok=False, now=0.0)
    assert health.success_rate(now=0.0) < 0.1
    assert health.success_rate(now=12.0) > 0.8


def test_failed_connection_starts_backoff() -> None:
    """Guards against every request waiting for the connect timeout of a failed server."""
    health = ServerHealth(now=0.0)
    health.record_connect_failure(now=1.0)
    assert not health.responsive(now=1.4)
    assert health.responsive(now=1.6)
