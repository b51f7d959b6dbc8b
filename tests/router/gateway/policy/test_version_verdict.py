"""Verdict on a version from counts."""

from __future__ import annotations

import random

import pytest

from cornellead.gateway.policy import ExposureLimiter
from cornellead.gateway.policy import VersionCounts
from cornellead.gateway.policy import VersionJudge
from cornellead.gateway.policy import is_worse
from cornellead.gateway.policy import slow_limit_s


@pytest.mark.parametrize(
    ("counts", "worse"),
    [
        (VersionCounts(new=4, new_bad=4, old=50, old_bad=0), True),
        (VersionCounts(new=30, new_bad=9, old=300, old_bad=3), True),
        (VersionCounts(new=3, new_bad=2, old=50, old_bad=0), False),
        (VersionCounts(new=200, new_bad=5, old=2000, old_bad=20), False),
        (VersionCounts(new=100, new_bad=60, old=1000, old_bad=600), False),
        (VersionCounts(new=0, new_bad=0, old=0, old_bad=0), False),
        (VersionCounts(new=8, new_bad=8, old=8, old_bad=8), False),
    ],
)
def test_verdict(counts: VersionCounts, worse: bool) -> None:
    """Guards against a bad version that passes, and a good one that fails with the whole fleet."""
    assert is_worse(counts) is worse


@pytest.mark.parametrize("usual", [0.0, 0.02, 0.1, 0.4])
def test_version_that_is_as_good_passes(usual: float) -> None:
    """Guards against a good version that is rolled back by chance in many judgements."""
    rng = random.Random(7)
    for _ in range(20):
        judge, counts = VersionJudge(), VersionCounts()
        for step in range(600):
            old_bad = sum(rng.random() < usual for _ in range(15))
            counts = counts.plus(VersionCounts(1, int(rng.random() < usual), 15, old_bad))
            assert not judge.find_fault({"route": counts}, now=0.1 * step)


def test_good_past_does_not_hide_a_version_that_turns_bad() -> None:
    """Guards against thousands of good responses that outweigh the latest bad ones."""
    judge, counts = VersionJudge(), VersionCounts()
    for step in range(300):
        counts = counts.plus(VersionCounts(10, 0, 100, 1))
        assert not judge.find_fault({"route": counts}, now=0.2 * step)
    for step in range(300, 325):
        counts = counts.plus(VersionCounts(2, 1, 20, 0))
        if judge.find_fault({"route": counts}, now=0.2 * step):
            return
    raise AssertionError("not found within 25 of 50 bad responses")


def test_slow_limit_follows_the_usual_durations() -> None:
    """Guards against a limit below what varies anyway."""
    assert slow_limit_s([0.1] * 7) is None
    assert slow_limit_s([0.1] * 20) == pytest.approx(0.3)
    assert slow_limit_s([0.1] * 10 + [1.0] * 5) == pytest.approx(1.5)


@pytest.mark.parametrize("share", [0.0, 0.025, 0.1])
def test_limiter_keeps_the_share(share: float) -> None:
    """Guards against exposure above the share, also after a time without servers."""
    limiter = ExposureLimiter()
    for number in range(1, 2001):
        if number > 1000 and limiter.allows():
            limiter.count_exposed()
        limiter.count_request(share=share)
        assert limiter.exposed <= share * number
    assert limiter.exposed <= share * 1000 + 2
