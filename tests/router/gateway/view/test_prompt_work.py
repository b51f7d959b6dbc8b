"""Reports of other routers about the pending prefill of a server."""

from __future__ import annotations

from cornellead.gateway.view._prompt_work import REPORT_MAX_AGE_S
from cornellead.gateway.view._prompt_work import PromptWork


def test_reports_of_routers_that_ended_are_evicted() -> None:
    """Guards against memory that grows with each router that ever ran, also while nothing asks for
    the pending prefill because no rate is known."""
    work = PromptWork()
    for number in range(1000):
        work.record_report(f"r{number}", 5000, now=0.1 * number)
    assert len(work._reports) <= REPORT_MAX_AGE_S / 0.1 + 2
    work.record_report("r1", 0, now=200.0)
    assert not work.has_pending


def test_renewed_report_outlives_older_ones() -> None:
    """Guards against the eviction of a report that was renewed, and of none behind it."""
    work = PromptWork()
    work.record_report("r1", 5000, now=0.0)
    work.record_report("r2", 7000, now=0.1)
    work.record_report("r1", 9000, now=1.0)
    assert work.pending_tokens(tokens_per_s=0.0, now=1.05) == 16_000
    assert work.pending_tokens(tokens_per_s=0.0, now=1.2) == 9000
