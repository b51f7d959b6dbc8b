"""Rollouts of good and bad versions by several routers, with faults of routers, links and store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_entry
from tests.router.gateway.rollout_fleet import EXPOSURE_SHARE
from tests.router.gateway.rollout_fleet import SERVICE
from tests.router.gateway.rollout_fleet import USUAL_S
from tests.router.gateway.rollout_fleet import Outcome
from tests.router.gateway.rollout_fleet import RolloutFleet

from cornellead_core.placement import rank_members
from cornellead_core.routing import RolloutNotice
from cornellead_core.routing import RolloutOrder
from cornellead_core.routing import RolloutPhase
from cornellead_core.routing import RolloutRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from returns.result import Result

    from cornellead_core.routing import NoticeBatch
    from cornellead_core.routing import StoreError
    from cornellead_core.routing import Topic

    Behaviour = Callable[[str, str, float, random.Random], Outcome]

SLACK = 50
ROLLBACK_S = 5.0
JUDGED_BAD = 50
"""Bad responses after which `ROLLBACK_S` begins."""
DURATION_S = 60.0


def good(version: str, route: str, now: float, rng: random.Random) -> Outcome:
    """Serve each request, a few of them failing or slow, whatever the version."""
    if rng.random() < 0.01:
        return Outcome(ok=False)
    return Outcome(seconds=USUAL_S * rng.uniform(0.7, 1.6))


def bad(
    *, share: float = 0.3, since_s: float = 0.0, only: str = "", slower: float = 0.0
) -> Behaviour:
    """Return a behaviour whose new version fails or is slow for a share of its responses."""

    def behave(version: str, route: str, now: float, rng: random.Random) -> Outcome:
        hit = version == "v2" and now >= since_s and route in (only or route)
        if not hit or rng.random() >= share:
            return good(version, route, now, rng)
        return Outcome(seconds=USUAL_S * slower) if slower else Outcome(ok=False)

    return behave


def assert_bounds_held(fleet: RolloutFleet) -> None:
    """Check the share of the new version, and the time of its last request if it is bad."""
    assert len(fleet.sent_new) <= EXPOSURE_SHARE * fleet.requests + SLACK
    if len(fleet.bad_new) >= JUDGED_BAD:
        assert fleet.sent_new[-1] <= fleet.bad_new[JUDGED_BAD - 1] + ROLLBACK_S


async def test_good_version_is_completed_late_but_before_its_deadline() -> None:
    """Guards against a version that stays at its small share, or that gets all requests early."""
    fleet = RolloutFleet(good)
    fleet.order(duration_s=DURATION_S)
    await fleet.run(0.7 * DURATION_S)
    assert len(fleet.sent_new) > 0.03 * fleet.requests
    while len(fleet.store.statuses) < 2:
        assert_bounds_held(fleet)
        await fleet.run(0.1)
    assert 0.8 * DURATION_S < fleet.now < DURATION_S
    last_second = [at for at in fleet.sent_new if at > fleet.now - 1.0]
    assert len(last_second) > 0.5 * fleet.rate_per_s, "most requests left the old servers before"
    await fleet.run(DURATION_S - fleet.now)
    assert fleet.store.statuses == [("running", "v2"), ("completed", "v2")]
    calls = fleet.store.calls
    await fleet.run(10.0)
    assert fleet.store.calls == calls
    assert fleet.store.records[-1].record.announced


@pytest.mark.parametrize("heard", [True, False])
@pytest.mark.parametrize(
    "behave",
    [
        bad(share=1.0),
        bad(),
        bad(share=0.15),
        bad(since_s=35.0),
        bad(only="unsafe", share=0.5),
        bad(slower=4.0, share=0.4),
        bad(slower=4.0, share=1.0, only="stream"),
    ],
    ids=["all", "portion", "few", "late", "one_route", "slow", "slow_route"],
)
async def test_bad_version_is_rolled_back_within_the_bounds(behave: Behaviour, heard: bool) -> None:
    """Guards against a bad version that is found late, or that only some routers leave.

    Routers that hear no reports still rely on the record of the one that finds the version bad.
    """
    fleet = RolloutFleet(behave, heard=heard, routers=10 if heard else 4)
    fleet.order(duration_s=DURATION_S)
    await fleet.run(DURATION_S)
    assert fleet.store.statuses == [("running", "v2"), ("rolled_back", "v2")]
    assert len(fleet.sent_new) <= EXPOSURE_SHARE * fleet.requests + SLACK
    if heard:
        assert_bounds_held(fleet)


async def test_local_stop_and_bound_hold_while_the_store_is_down() -> None:
    """Guards against routers that need the store to leave a bad version."""
    fleet = RolloutFleet(bad(since_s=20.0))
    fleet.order(duration_s=DURATION_S)
    await fleet.run(15.0)
    fleet.store.down = True
    await fleet.run(DURATION_S)
    assert_bounds_held(fleet)
    assert fleet.now - fleet.sent_new[-1] > 30.0
    fleet.store.down = False
    await fleet.run(10.0)
    assert fleet.store.statuses[-1] == ("rolled_back", "v2")


async def test_share_does_not_rise_while_the_store_is_down() -> None:
    """Guards against a good version that is completed without a record."""
    fleet = RolloutFleet(good)
    fleet.order(duration_s=DURATION_S)
    await fleet.run(10.0)
    fleet.store.down = True
    await fleet.run(DURATION_S)
    assert_bounds_held(fleet)
    assert fleet.record is not None and fleet.record.phase is RolloutPhase.RUNNING


async def test_next_router_goes_on_after_the_deciding_one_died_before_the_status() -> None:
    """Guards against a completed rollout that operators are never told of."""
    fleet = RolloutFleet(good)
    fleet.order(duration_s=DURATION_S)
    await fleet.run(DURATION_S - 12.0)
    fleet.store.status_down = True
    while fleet.record is None or fleet.record.phase is not RolloutPhase.COMPLETED:
        await fleet.run(0.1)
        assert fleet.now < DURATION_S
    first = rank_members(f"rollout/{SERVICE}", fleet.names)[0]
    fleet.routers[fleet.names.index(first)].running = False
    fleet.store.status_down = False
    await fleet.run(4.0)
    assert fleet.store.statuses == [("running", "v2"), ("completed", "v2")]


async def test_router_that_decides_on_an_old_state_is_refused() -> None:
    """Guards against two routers that decide at a time: each write follows the one before."""
    fleet = RolloutFleet(good, routers=2)
    order = fleet.order(duration_s=DURATION_S)
    await fleet.run(5.0)
    record = fleet.store.records[-1].record
    late = record._replace(phase=RolloutPhase.COMPLETED)
    result = await fleet.store.append_rollout(SERVICE, late, at=len(fleet.store.records) - 1)
    assert not result.unwrap() and fleet.record == record
    assert record.order_id == order.order_id


async def test_restarted_router_begins_at_zero_and_follows_the_record() -> None:
    """Guards against a router that sends to the new version before it has read the state."""
    fleet = RolloutFleet(good)
    order = fleet.order(duration_s=DURATION_S)
    await fleet.run(30.0)
    restarted = fleet.restart(0, order)
    rollout = restarted.view.rollouts.get(SERVICE)
    assert rollout is not None and rollout.share == 0.0
    await fleet.run(DURATION_S - 30.0)
    assert fleet.store.statuses[-1] == ("completed", "v2")
    assert rollout.share == 1.0


async def test_router_restarted_after_a_rollback_does_not_use_the_version() -> None:
    """Guards against a bad version that gets requests again from a router that starts."""
    fleet = RolloutFleet(bad())
    order = fleet.order(duration_s=DURATION_S)
    await fleet.run(30.0)
    sent = len(fleet.sent_new)
    restarted = fleet.restart(0, order)
    await fleet.run(30.0)
    assert len(fleet.sent_new) == sent
    rollout = restarted.view.rollouts.get(SERVICE)
    assert rollout is not None and rollout.fault


async def test_second_order_rolls_the_first_one_back() -> None:
    """Guards against two rollouts of a service at once, and against an unproved version that counts
    among those in force since another one was ordered."""
    fleet = RolloutFleet(good)
    fleet.order(to="v2", duration_s=DURATION_S)
    await fleet.run(10.0)
    fleet.order(to="v3", duration_s=DURATION_S)
    sent = len(fleet.sent_new)
    await fleet.run(10.0)
    assert fleet.store.statuses == [("running", "v2"), ("rolled_back", "v2"), ("running", "v3")]
    assert len(fleet.sent_new) == sent


@pytest.mark.parametrize("to", ["v1", "v3"])
@pytest.mark.parametrize("told", [True, False])
async def test_bad_version_gets_nothing_after_the_next_order(to: str, told: bool) -> None:
    """Guards against a bad version that counts among those in force once another is ordered."""
    fleet = RolloutFleet(bad(share=1.0))
    fleet.order(duration_s=DURATION_S)
    while not all(rollout.fault for router in fleet.routers for rollout in router.view.rollouts):
        await fleet.run(0.1)
    await fleet.run(5.0 if told else 0.0)
    sent, requests = len(fleet.sent_new), fleet.requests
    fleet.order(to=to, duration_s=DURATION_S)
    await fleet.run(15.0)
    assert len(fleet.sent_new) == sent and fleet.requests > requests
    expected = ("completed", "v1") if to == "v1" else ("running", "v3")
    assert fleet.store.statuses == [("running", "v2"), ("rolled_back", "v2"), expected]


async def test_completed_version_stays_in_force_after_the_next_order() -> None:
    """Guards against an unproved version that gets all requests, since a router reads the next
    order before the completion of the one in force."""
    fleet = RolloutFleet(good, routers=2)
    fleet.order(duration_s=DURATION_S)
    await fleet.run(30.0)
    late = fleet.routers[0].view.rollouts
    late.apply_order(RolloutOrder(SERVICE, "v3", DURATION_S, 9), now=fleet.now)
    rollout = late.get(SERVICE)
    assert rollout is not None and rollout.replaced == "v2"
    completed = RolloutRecord(1, "v2", RolloutPhase.COMPLETED, 1.0, 30.0, announced=True)
    late.apply_record(SERVICE, completed, now=fleet.now)
    assert not rollout.replaced and not rollout.abandoned


async def test_order_during_a_rollback_begins_after_it() -> None:
    """Guards against a bad version that is rolled out again before its rollback is told."""
    fleet = RolloutFleet(bad(share=1.0))
    fleet.order(duration_s=DURATION_S)
    while not any(router.view.rollouts.has_news for router in fleet.routers):
        await fleet.run(0.1)
    fleet.store.down = True
    await fleet.run(1.0)
    fleet.order(duration_s=DURATION_S)
    fleet.store.down = False
    await fleet.run(5.0)
    assert fleet.store.statuses[:3] == [
        ("running", "v2"),
        ("rolled_back", "v2"),
        ("running", "v2"),
    ]


async def test_order_for_the_version_in_force_is_completed_at_once() -> None:
    """Guards against an order that waits for its deadline with nothing to move."""
    fleet = RolloutFleet(good)
    fleet.order(to="v1", duration_s=DURATION_S)
    for router in fleet.routers:
        for server in ("b0", "b1", "b2"):
            router.view.servers.remove(server, now=0.0)
    await fleet.run(3.0)
    assert fleet.store.statuses == [("completed", "v1")]


async def test_order_without_servers_is_rolled_back_at_its_deadline() -> None:
    """Guards against a rollout that is completed although nothing serves its version."""
    fleet = RolloutFleet(good)
    fleet.order(to="v9", duration_s=DURATION_S)
    await fleet.run(DURATION_S)
    assert fleet.store.statuses == [("running", "v9"), ("rolled_back", "v9")]


async def test_withdrawn_order_is_rolled_back() -> None:
    """Guards against a version that keeps its share after its order was withdrawn."""
    fleet = RolloutFleet(good)
    fleet.order(duration_s=DURATION_S)
    await fleet.run(20.0)
    sent = len(fleet.sent_new)
    fleet.withdraw()
    await fleet.run(5.0)
    assert fleet.store.statuses == [("running", "v2"), ("rolled_back", "v2")]
    assert len(fleet.sent_new) == sent


async def test_no_call_and_no_report_without_an_order() -> None:
    """Guards against store calls and datagrams of deployments that have no rollouts."""
    fleet = RolloutFleet(good)
    await fleet.run(5.0)
    assert fleet.store.calls == 0
    assert all(router.view.rollouts.make_report(now=fleet.now) is None for router in fleet.routers)
    assert len(fleet.sent_new) == pytest.approx(fleet.requests / 2, rel=0.15)


async def test_decision_on_a_replaced_order_is_not_written() -> None:
    """Guards against a router that overwrites the end of a rollout with its next step: the next
    order arrived while it waited for the store."""
    fleet = RolloutFleet(good, routers=1)
    fleet.order(duration_s=DURATION_S)
    await fleet.run(1.0)
    router, read_newest = fleet.routers[0], fleet.store.read_newest
    old = fleet.store.records[-1].record

    async def read_late(topic: Topic) -> Result[NoticeBatch, StoreError]:
        end = old._replace(phase=RolloutPhase.ROLLED_BACK, share=0.0)
        fleet.store.records.append(RolloutNotice(SERVICE, end))
        fleet.order(to="v3", duration_s=DURATION_S)
        return await read_newest(topic)

    rollout = router.view.rollouts.get(SERVICE)
    assert rollout is not None
    router.view.rollouts.mark_bad(rollout, "all routes", source="r9")
    fleet.store.read_newest = read_late  # type: ignore[method-assign]
    await router.controller._write(rollout)
    assert len(fleet.store.records) == 3


async def test_order_after_a_rollback_that_is_not_told_yet_begins_anew() -> None:
    """Guards against a version that is completed at once: the time before its withdrawal does not
    count for the next order."""
    fleet = RolloutFleet(good)
    fleet.order(duration_s=DURATION_S)
    await fleet.run(45.0)
    fleet.store.status_down = True
    fleet.withdraw()
    await fleet.run(3.0)
    assert fleet.record is not None and fleet.record.phase is RolloutPhase.ROLLED_BACK
    fleet.store.status_down = False
    fleet.order(duration_s=DURATION_S)
    await fleet.run(30.0)
    assert fleet.store.statuses == [("running", "v2"), ("rolled_back", "v2"), ("running", "v2")]


@pytest.mark.parametrize("restarted", [True, False])
async def test_version_in_force_that_was_rolled_back_long_ago_keeps_its_requests(
    restarted: bool,
) -> None:
    """Guards against an unproved version that gets all requests: an earlier order for the version
    in force was rolled back, and its record is still in the store."""
    fleet = RolloutFleet(bad(share=1.0))
    fleet.order(duration_s=DURATION_S)
    await fleet.run(10.0)
    fleet.behave = good
    await fleet.run(70.0)
    for router in fleet.routers:
        for server in ("a0", "a1", "a2"):
            entry = make_entry(server, version="v3", started_ms=2)
            router.view.servers.put(entry, now=fleet.now)
    order = RolloutOrder(SERVICE, "v3", DURATION_S, 2)
    for index in range(len(fleet.routers) if restarted else 0):
        fleet.servers |= {"a0": "v3", "a1": "v3", "a2": "v3"}
        fleet.restart(index, order)
    fleet.order(to="v3", duration_s=DURATION_S)
    sent, requests = len(fleet.sent_new), fleet.requests
    await fleet.run(15.0)
    assert len(fleet.sent_new) - sent > 0.9 * (fleet.requests - requests)
    assert fleet.store.statuses[-1] == ("running", "v3")
