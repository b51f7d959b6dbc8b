"""Quarantine of prompt parts: exchange between routers, end of a quarantine, and bounds."""

from __future__ import annotations

import random

import msgspec
import pytest

from cornellead.gateway.quarantine import CrashReport
from cornellead.gateway.quarantine import Evidence
from cornellead.gateway.quarantine import PromptGuard
from cornellead.gateway.quarantine import QuarantinedPart

TICK_S = 0.2
MAX_RECIPIENTS = 8


def spread(guards: list[PromptGuard], *, now: float, rounds: int, seed: int = 1) -> None:
    """Let each guard send its messages to a few random others, as routers do."""
    rng = random.Random(seed)
    for step in range(rounds):
        at = now + step * TICK_S
        messages = [(guard, guard.make_evidence(now=at)) for guard in guards]
        for sender, message in messages:
            others = [guard for guard in guards if guard is not sender]
            if message is None:
                continue
            decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Evidence)
            for receiver in rng.sample(others, min(MAX_RECIPIENTS, len(others))):
                receiver.apply_evidence(decoded, now=at)


def refuses(guard: PromptGuard, part: str, *, now: float, routers: list[str] | None = None) -> bool:
    """Return whether a request with the part is refused."""
    return guard.find_refused((part,), routers=routers or ["r0"], now=now) is not None


@pytest.mark.parametrize("routers", [2, 5, 25, 330])
def test_all_routers_refuse_soon_after_the_third_crash(routers: int) -> None:
    """Guards against routers that learn too late of crashes which each saw only once."""
    guards = [PromptGuard(router=f"r{number}") for number in range(routers)]
    for number, at in enumerate((1.0, 4.0, 7.0)):
        report = CrashReport(number, number, ("shared", "bad"), at)
        guards[number % routers].record_crash([report], now=at)
        spread(guards, now=at, rounds=10, seed=number)
    assert all(refuses(guard, "bad", now=9.0) for guard in guards)


def test_answer_at_another_router_refutes_the_evidence() -> None:
    """Guards against a sound part that is refused by a router which sees only its crashes."""
    guards = [PromptGuard(router=f"r{number}") for number in range(25)]
    for number in range(1, 20):
        report = CrashReport(number, number, ("shared", "popular"), number)
        guards[0].record_crash([report], now=number)
        spread(guards, now=number, rounds=2, seed=number)
        guards[1 + number % 24].record_answer(("shared", "popular"), now=number + 0.5)
        spread(guards, now=number + 0.5, rounds=2, seed=number)
        assert not any(refuses(guard, "popular", now=number + 0.9) for guard in guards)


def test_restarted_router_learns_the_quarantine_from_the_others() -> None:
    """Guards against a restarted router that sends what all the others refuse."""
    guards = [PromptGuard(router=f"r{number}") for number in range(5)]
    for number, at in enumerate((1.0, 2.0, 3.0)):
        guards[0].record_crash([CrashReport(number, number, ("bad",), at)], now=at)
    spread(guards, now=3.0, rounds=10)
    guards[4] = PromptGuard(router="r4")
    spread(guards, now=20.0, rounds=6)
    assert refuses(guards[4], "bad", now=21.2)


def test_later_answer_lifts_the_quarantine_everywhere() -> None:
    """Guards against a wrong quarantine that one router gets back from the others."""
    guards = [PromptGuard(router=f"r{number}") for number in range(5)]
    for number, at in enumerate((1.0, 2.0, 3.0)):
        guards[0].record_crash([CrashReport(number, number, ("part",), at)], now=at)
    spread(guards, now=3.0, rounds=10)
    guards[3].record_answer(("part",), now=6.0)
    spread(guards, now=6.0, rounds=30)
    assert not any(refuses(guard, "part", now=12.0) for guard in guards)


def test_routers_without_the_reports_drop_a_wrong_quarantine_too() -> None:
    """Guards against a wrong quarantine that routers with a part of the reports keep for long."""
    guards = [PromptGuard(router=f"r{number}") for number in range(5)]
    for number in range(3):
        report = CrashReport(number, number, ("shared", "rare"), 1.0 + number)
        guards[0].record_crash([report], now=3.0)
    spread(guards, now=3.0, rounds=10)
    assert all(refuses(guard, "rare", now=5.0) for guard in guards)
    for number in range(3):
        report = CrashReport(10 + number, number, ("shared", "rare", "bad"), 1.0 + number)
        guards[1].record_crash([report], now=5.0)
    spread(guards, now=5.0, rounds=20)
    assert not any(refuses(guard, "rare", now=9.0) for guard in guards)
    assert all(refuses(guard, "bad", now=9.0) for guard in guards)


def test_one_request_at_a_time_is_let_through_after_a_quarantine() -> None:
    """Guards against a burst of requests that crash servers once a quarantine has ended."""
    routers = ["r0", "r1", "r2"]
    guards = [PromptGuard(router=name) for name in routers]
    held = QuarantinedPart("bad", strikes=1, crashes=3, since=0.0)
    for guard in guards:
        guard.restore(held, source="store")
    now = held.until + 1.0
    sent = [
        not refuses(guard, "bad", now=now + 0.1 * attempt, routers=routers)
        for attempt in range(3)
        for guard in guards
    ]
    assert sum(sent) == 1
    guards[0].record_crash([CrashReport(1, 1, ("bad",), now + 1.0)], now=now + 1.0)
    assert refuses(guards[0], "bad", now=now + 600.0, routers=routers)


def test_state_is_bounded_however_many_parts_come() -> None:
    """Guards against memory that grows with the number of parts, crashes and answers."""
    guard = PromptGuard(router="r0")
    for number in range(3_000):
        parts = tuple(f"part{number}-{index}" for index in range(40))
        guard.record_crash([CrashReport(number, number, parts, number * 0.01)], now=30.0)
        guard.record_answer((f"answered{number}",), now=30.0)
        guard.restore(QuarantinedPart(f"held{number}", 1, 3, 30.0), source="r1")
    assert len(guard.quarantined(now=31.0)) <= 256
    message = guard.make_evidence(now=31.0)
    assert message is not None
    assert len(msgspec.msgpack.encode(message)) < 4096


def test_part_that_turned_bad_is_quarantined_again_by_all_routers() -> None:
    """Guards against routers that take an answer from before the first quarantine as a refutation
    of the second one."""
    guards = [PromptGuard(router=f"r{number}") for number in range(2)]
    held = QuarantinedPart("bad", strikes=1, crashes=5, since=10.0)
    for guard in guards:
        guard.record_answer(("bad",), now=0.0)
        guard.restore(held, source="store")
    crashed_at = held.until + 5.0
    guards[0].record_crash([CrashReport(1, 1, ("bad",), crashed_at)], now=crashed_at)
    spread(guards, now=crashed_at, rounds=6)
    assert all(refuses(guard, "bad", now=crashed_at + 2.0) for guard in guards)
