"""Estimate of the mean load from summaries of different ages."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cornellead_core.load import EXPIRY_S
from cornellead_core.load import TOTAL
from cornellead_core.load import DcSummary
from cornellead_core.load import LoadTable
from cornellead_core.load import single_server_group
from cornellead_core.load._load_table import SINGLE_SERVER_EXPIRY_S


def make_server_summary(server: str, load: int, *, seq: int = 1, age_ms: int = 0) -> DcSummary:
    """Return the summary of one server of capacity 10."""
    return DcSummary("dc0", single_server_group(server), seq, age_ms, load, 10, 1)


def test_fresh_summaries_give_the_mean() -> None:
    """Guards against servers that are missing from the mean or counted twice."""
    table = LoadTable()
    for server, load in (("a", 4), ("b", 8), ("b", 8)):
        table.merge_summary(make_server_summary(server, load), now=0.0)
    estimate = table.estimate(now=0.0)
    assert (estimate.rho, estimate.servers) == (0.6, 2)


@settings(derandomize=True, deadline=None)
@given(loads=st.lists(st.integers(0, 50), min_size=1, max_size=8), age=st.floats(0, 2.4))
def test_estimate_never_exceeds_the_known_load(loads: list[int], age: float) -> None:
    """Guards against an estimate that increases while its summaries age."""
    table = LoadTable()
    for index, load in enumerate(loads):
        table.merge_summary(make_server_summary(f"s{index}", load), now=0.0)
    before, after = table.estimate(now=0.0), table.estimate(now=age)
    assert after.rho <= before.rho <= before.stale_rho
    assert after.capacity == before.capacity


def test_expired_summaries_are_excluded() -> None:
    """Guards against counting unreachable servers as idle capacity."""
    table = LoadTable()
    table.merge_summary(make_server_summary("a", 5), now=0.0)
    table.merge_summary(DcSummary("dc1", TOTAL, 1, 0, 5, 10, 1), now=0.0)
    assert table.estimate(now=SINGLE_SERVER_EXPIRY_S + 0.1).servers == 1
    assert table.estimate(now=EXPIRY_S + 0.1).servers == 0


def test_total_replaces_the_groups_of_its_data_centre() -> None:
    """Guards against counting a request both in its group and in the total."""
    table = LoadTable()
    for group in (0, 1):
        table.merge_summary(DcSummary("dc0", group, 1, 0, 6, 12, 3), now=0.0)
    assert table.estimate(now=0.0).servers == 6
    table.replace_summary(table.summarize_total(dc="dc0", seq=1, now=0.0), now=0.0)
    assert table.estimate(now=0.0).servers == 6
    assert [summary.group for summary in table.summaries(now=0.0, max_age_s=1.0)] == [TOTAL]


def test_data_centres_out_of_service_are_excluded() -> None:
    """Guards against a bound lowered by idle engines of a data centre out of service (G3)."""
    table = LoadTable()
    table.merge_summary(make_server_summary("a", 5), now=0.0)
    table.merge_summary(DcSummary("dc1", 0, 1, 0, 0, 10, 1), now=0.0)
    assert table.estimate(now=0.0, excluded={"dc1"}).rho == 0.5


def test_new_reporter_with_lower_sequence_numbers_is_accepted() -> None:
    """Guards against a failed reporter's last summary that blocks those of its successor."""
    table = LoadTable()
    table.merge_summary(DcSummary("dc0", 0, 900, 0, 6, 12, 3), now=0.0)
    successor = DcSummary("dc0", 0, 5, 0, 7, 12, 3)
    table.merge_summary(successor, now=0.5)
    assert table.estimate(now=0.5).stale_rho == 0.5
    table.merge_summary(successor, now=2.0)
    assert table.estimate(now=2.0).stale_rho == 7 / 12
