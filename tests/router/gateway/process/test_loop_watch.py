"""Delays of the event loop in logs and metrics."""

from __future__ import annotations

import asyncio
import time

from structlog.testing import capture_logs

from cornellead.gateway.process._loop_watch import LoopWatch
from cornellead.gateway.process._ticker import Ticker
from cornellead.gateway.stats import GatewayStats
from cornellead_core.metrics import Metrics

BLOCKED_S = 0.25


async def test_busy_loop_is_told_from_a_suspended_host() -> None:
    """Guards against late answers whose cause no log tells."""
    metrics = Metrics()
    ticker = Ticker(
        name="test",
        interval_s=0.05,
        action=lambda: None,
        clock=time.monotonic,
        on_delay=LoopWatch(stats=GatewayStats(metrics=metrics)).record,
    )
    with capture_logs() as logs:
        task = asyncio.create_task(ticker.run())
        await asyncio.sleep(0.01)
        until = time.process_time() + BLOCKED_S
        while time.process_time() < until:
            pass
        await asyncio.sleep(0.1)
        time.sleep(BLOCKED_S)
        await asyncio.sleep(0.1)
        task.cancel()
    busy, suspended = (line for line in logs if line["event"] == "event loop delayed")
    assert busy["delay_ms"] > 150 and busy["busy_ms"] > 200
    assert suspended["delay_ms"] > 150 and suspended["busy_ms"] < 100
    assert b"gateway_loop_delay_seconds" in metrics.render()


def test_short_delays_are_not_logged() -> None:
    """Guards against a log that is full of lines about usual work."""
    watch = LoopWatch(stats=GatewayStats(metrics=Metrics()))
    with capture_logs() as logs:
        watch.record(0.02)
    assert not logs
