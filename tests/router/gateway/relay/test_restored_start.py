"""Tests of routers that start while the store has only an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.restored_fleet import OPERATOR
from tests.router.gateway.restored_fleet import RestoredFleet

from cornellead.gateway.view._store_history import MAX_BEHIND_S
from cornellead.gateway.view._store_history import SETTLE_S
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from tests.router.gateway.restored_fleet import RestoredRouter

MAX_CONFIG_AGE_S = 2.0


@pytest.fixture
async def fleet(free_address: Callable[[], str]) -> AsyncIterator[RestoredFleet]:
    """Yield a reader and two followers that have read version 4."""
    fleet = RestoredFleet(free_address, routers=3)
    await fleet.start()
    fleet.put_config(4)
    await fleet.read(Topic.OPERATOR)
    yield fleet
    fleet.stop()


async def _lose(fleet: RestoredFleet, version: int) -> None:
    """Restore the store to a copy without a version that all routers have in force."""
    copy = fleet.store.copy()
    fleet.put_config(version)
    await fleet.read(Topic.OPERATOR)
    fleet.store.restore(copy)


def _confirms(router: RestoredRouter) -> bool:
    return router.view.config_age_s(now=router.clock()) <= MAX_CONFIG_AGE_S


def _out(router: RestoredRouter) -> frozenset[str]:
    return router.view.servers.data_centres_out_of_service


@pytest.mark.parametrize(
    ("number", "noticed"), [(0, False), (0, True), (2, True)], ids=["first", "reader", "follower"]
)
async def test_router_that_starts_with_the_copy_takes_the_lost_version(
    fleet: RestoredFleet, number: int, noticed: bool
) -> None:
    """Guards against a restarted router that goes back to the copy's version, and that answers 404
    or 401 by it."""
    await _lose(fleet, 7)
    if noticed:
        await fleet.read(Topic.OPERATOR, times=3)
    started = await fleet.restart(number)
    await started.read(Topic.OPERATOR)
    assert (started.version, _confirms(started)) == (7, False)
    await started.read(Topic.OPERATOR, times=3)
    assert (started.version, _confirms(started)) == (7, False)
    fleet.put_config(9)
    await fleet.read(Topic.OPERATOR, times=4)
    assert (started.version, _confirms(started)) == (9, True)


async def test_lost_version_outlives_a_restart_of_all_routers_one_by_one(
    fleet: RestoredFleet,
) -> None:
    """Guards against a planned restart of all routers that ends an acknowledged version."""
    await _lose(fleet, 7)
    for number in range(3):
        started = await fleet.restart(number)
        await started.read(Topic.OPERATOR, times=2)
    assert [router.version for router in fleet.routers] == [7, 7, 7]


async def test_router_that_starts_with_an_empty_copy_takes_the_lost_version(
    fleet: RestoredFleet,
) -> None:
    """Guards against a restarted router that serves nobody until the operator writes again."""
    fleet.store.restore({})
    started = await fleet.restart(0)
    await started.read(Topic.OPERATOR, times=2)
    assert (started.version, _confirms(started)) == (4, False)


@pytest.mark.parametrize("noticed", [False, True])
async def test_router_that_starts_with_the_copy_keeps_a_data_centre_out(
    fleet: RestoredFleet, noticed: bool
) -> None:
    """Guards against requests of a restarted router to a data centre whose removal was lost."""
    copy = fleet.store.copy()
    fleet.store.put(OPERATOR, "evacuate/kgl-a", {})
    await fleet.read(Topic.OPERATOR)
    fleet.store.restore(copy)
    if noticed:
        await fleet.read(Topic.OPERATOR, times=3)
    started = await fleet.restart(0)
    await started.read(Topic.OPERATOR, times=3)
    assert _out(started) == {"kgl-a"}
    started.now_offset_s += SETTLE_S
    await started.read(Topic.OPERATOR, times=3)
    assert _out(started) == set()


async def test_data_centre_is_back_at_a_router_that_starts_long_after_the_restore(
    fleet: RestoredFleet,
) -> None:
    """Guards against a data centre that stays out for good, handed from router to router."""
    copy = fleet.store.copy()
    fleet.store.put(OPERATOR, "evacuate/kgl-a", {})
    fleet.put_config(7)
    await fleet.read(Topic.OPERATOR)
    fleet.store.restore(copy)
    await fleet.read(Topic.OPERATOR, times=3)
    for router in fleet.routers:
        router.now_offset_s += MAX_BEHIND_S - 1.0
    started = await fleet.restart(0)
    await started.read(Topic.OPERATOR, times=3)
    assert _out(started) == {"kgl-a"}
    started.now_offset_s += 1.1
    await started.read(Topic.OPERATOR, times=3)
    assert (started.version, _out(started)) == (7, frozenset())


async def test_data_centre_returned_before_the_start_is_used(fleet: RestoredFleet) -> None:
    """Guards against a router that takes what another one has not read yet for lost changes."""
    fleet.store.put(OPERATOR, "evacuate/kgl-a", {})
    await fleet.read(Topic.OPERATOR)
    fleet.store.put(OPERATOR, "evacuate/kgl-a", None)
    started = await fleet.restart(0)
    await started.read(Topic.OPERATOR)
    assert _out(started) == set()


async def test_router_without_others_confirms_the_store_at_once(
    free_address: Callable[[], str],
) -> None:
    """Guards against a lone router that serves nobody, or answers 503 for an unknown route."""
    fleet = RestoredFleet(free_address, routers=1)
    await fleet.start()
    fleet.put_config(4)
    await fleet.read(Topic.OPERATOR)
    assert (fleet.routers[0].version, _confirms(fleet.routers[0])) == (4, True)
    fleet.stop()


async def test_router_whose_others_do_not_respond_serves_and_asks_again(
    fleet: RestoredFleet,
) -> None:
    """Guards against a start that waits for silent routers, and against a lost version that is
    never learned since the first request had no answer."""
    await _lose(fleet, 7)
    others = fleet.routers[1:]
    for router in others:
        router.listener.stop_accepting()
    started = await fleet.restart(0)
    await started.read(Topic.OPERATOR)
    assert (started.version, _confirms(started)) == (4, True)
    for router in others:
        await router.listener.start()
    started.now_offset_s += 1.0
    await started.read(Topic.OPERATOR, times=2)
    assert (started.version, _confirms(started)) == (7, False)
