"""Choice of the prompt parts that are blamed for crashes."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornellead.gateway.quarantine import CrashReport
from cornellead.gateway.quarantine import PromptGuard

SERVERS = 8
ROUTERS = ["r1"]


def make_report(number: int, *parts: str, at: float, server: int | None = None) -> CrashReport:
    """Return a report of a request, at a server of its own unless one is given."""
    return CrashReport(number, number if server is None else server, parts, at)


def make_guard(*reports: CrashReport) -> PromptGuard:
    """Return a guard that has received reports in order."""
    guard = PromptGuard(router="r1")
    for report in reports:
        guard.record_crash([report], now=report.at)
    return guard


def quarantined_parts(guard: PromptGuard, *, now: float = 100.0) -> set[str]:
    """Return the parts in quarantine."""
    return {held.part for held in guard.quarantined(now=now)}


def test_part_without_an_answer_is_quarantined_after_three_crashes() -> None:
    """Guards against a part that crashes servers on and on."""
    reports = [make_report(number, "shared", f"own{number}", "bad", at=number) for number in (1, 2)]
    assert quarantined_parts(make_guard(*reports)) == set()
    reports.append(make_report(3, "shared", "own3", "bad", at=3))
    guard = PromptGuard(router="r1")
    guard.record_answer(("shared",), now=0.5)
    for report in reports:
        guard.record_crash([report], now=report.at)
    assert quarantined_parts(guard) == {"bad"}


def test_part_that_all_culprits_share_is_not_blamed() -> None:
    """Guards against refused sound requests whose other part comes with each bad one."""
    guard = PromptGuard(router="r1")
    guard.record_answer(("shared", "thing"), now=0.0)
    for number in (1, 2, 3, 4):
        guard.record_crash([make_report(number, "shared", "thing", "bad", at=number)], now=number)
    assert quarantined_parts(guard) == {"bad"}


@pytest.mark.parametrize("servers", [2, 5, 40])
def test_servers_that_crash_together_are_one_occasion(servers: int) -> None:
    """Guards against a popular new part that is refused since a data centre was lost."""
    reports = [make_report(number, "popular", at=5.0 + 0.001 * number) for number in range(servers)]
    assert quarantined_parts(make_guard(*reports)) == set()


def test_crash_with_a_quarantined_part_does_not_blame_others() -> None:
    """Guards against a rare part that is refused since it met three crashes of another part."""
    guard = PromptGuard(router="r1")
    for number, at in enumerate((1.0, 3.0, 5.0)):
        guard.record_crash([make_report(number, "bad", at=at, server=number)], now=at)
    for number, at in enumerate((1.0, 3.0)):
        guard.record_crash([make_report(10 + number, "rare", at=at, server=number)], now=5.2)
    guard.record_crash([make_report(20, "bad", at=9.0, server=7)], now=9.0)
    guard.record_crash([make_report(21, "rare", at=9.01, server=7)], now=9.2)
    assert quarantined_parts(guard) == {"bad"}


@given(order=st.permutations(range(6)))
def test_order_of_reports_does_not_decide_who_is_blamed(order: list[int]) -> None:
    """Guards against sound parts refused for long since their reports came before the culprit's."""
    guard = PromptGuard(router="r1")
    for number in order:
        crash = number // 2
        parts = ("shared", "rare", "bad") if number % 2 else ("shared", "rare")
        guard.record_crash([make_report(number, *parts, at=1.0 + crash, server=crash)], now=5.0)
    assert quarantined_parts(guard) == {"bad"}


def test_culprit_is_found_when_an_answer_clears_the_part_that_was_blamed() -> None:
    """Guards against a culprit that crashes one more server since another part was blamed first."""
    guard = PromptGuard(router="r1")
    for number in (1, 2, 3):
        guard.record_crash([make_report(number, "shared", at=number)], now=number)
    assert quarantined_parts(guard) == {"shared"}
    for number in (1, 2, 3):
        parts = ("shared", "bad")
        guard.record_crash(
            [make_report(10 + number, *parts, at=number + 0.1, server=number)], now=4
        )
    guard.record_crash([make_report(4, "shared", at=4)], now=4)
    guard.record_answer(("shared",), now=5.0)
    assert quarantined_parts(guard) == {"bad"}


def test_several_reports_on_one_crash_count_once() -> None:
    """Guards against a quarantine after one crash with many requests of a part."""
    reports = [make_report(number, "part", at=1.0 + 0.3 * number, server=7) for number in range(5)]
    assert quarantined_parts(make_guard(*reports)) == set()


def test_part_that_was_answered_needs_more_crashes() -> None:
    """Guards both against a sound part at three crashes, and against a part that turned bad."""
    guard = PromptGuard(router="r1")
    guard.record_answer(("part",), now=0.0)
    for number in range(1, 5):
        guard.record_crash([make_report(number, "part", at=number)], now=number)
    assert quarantined_parts(guard) == set()
    guard.record_crash([make_report(5, "part", at=5)], now=5)
    assert quarantined_parts(guard) == {"part"}


@given(
    sound=st.lists(
        st.tuples(
            st.integers(0, 3),
            st.floats(0.0, 60.0, allow_nan=False),
            st.sampled_from(["crash", "answer"]),
        ),
        max_size=60,
    ),
    bad_times=st.lists(st.floats(0.0, 60.0, allow_nan=False), max_size=8),
)
def test_answered_part_is_never_quarantined_for_long(
    sound: list[tuple[int, float, str]], bad_times: list[float]
) -> None:
    """Guards against a quarantine that outlives an answer, in any order of crashes and answers."""
    guard = PromptGuard(router="r1")
    events = [(at, f"sound{part}", what) for part, at, what in sound]
    events += [(at, "bad", "crash") for at in bad_times]
    for number, (at, part, what) in enumerate(sorted(events)):
        if what == "crash":
            report = CrashReport(number, number % SERVERS, ("shared", part), at)
            guard.record_crash([report], now=at)
        else:
            guard.record_answer(("shared", part), now=at)
            assert guard.find_refused(("shared", part), routers=ROUTERS, now=at) is None
    crashes = sorted(bad_times)
    spread = [b - a for a, b in pairwise(crashes)]
    if len([gap for gap in spread if gap > 1.5]) >= 2 and not sound:
        assert "bad" in quarantined_parts(guard, now=60.0)


def test_answer_at_the_moment_of_the_last_crash_lifts_the_quarantine() -> None:
    """Guards against a quarantine that outlives an answer with the same time as its last crash."""
    guard = PromptGuard(router="r1")
    guard.record_answer(("part",), now=0.0)
    for number, at in enumerate((0.5, 1.0, 1.5, 2.0, 2.5)):
        guard.record_crash([make_report(number, "part", at=at)], now=at)
    assert quarantined_parts(guard, now=2.5) == {"part"}
    guard.record_answer(("part",), now=2.5)
    assert quarantined_parts(guard, now=2.5) == set()
