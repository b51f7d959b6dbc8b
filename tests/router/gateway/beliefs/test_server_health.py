"""Servers that fail, slow down or fall silent."""

from __future__ import annotations

from cornellead.gateway.beliefs import ServerHealth


def test_server_that_answers_others_is_responsive() -> None:
    """Guards against leaving a busy server because one of its answers takes long."""
    health = ServerHealth(now=0.0)
    health.open(1, now=0.0)
    health.count_byte(now=1.9)
    assert health.responsive(now=2.5)
    assert not health.responsive(now=3.0)
    health.close(1)
    assert health.responsive(now=9.0)


def test_failures_are_forgotten_after_some_seconds() -> None:
    """Guards against a server that never gets requests again after it recovered."""
    health = ServerHealth(now=0.0)
    for _ in range(20):
        health.count_outcome(ok=False, now=0.0)
    assert health.success_rate(now=0.0) < 0.1
    assert health.success_rate(now=12.0) > 0.8


def test_server_without_connections_pauses() -> None:
    """Guards against each request paying the connect timeout of a dead server."""
    health = ServerHealth(now=0.0)
    health.count_connect_failure(now=1.0)
    assert not health.responsive(now=1.4)
    assert health.responsive(now=1.6)
