"""Tests of routers that follow a store which comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from returns.result import Failure
from tests.router.gateway.restored_fleet import OPERATOR
from tests.router.gateway.restored_fleet import SERVERS
from tests.router.gateway.restored_fleet import RestoredFleet

from cornellead.gateway.view._store_history import SETTLE_S
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import Position
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from tests.router.gateway.restored_fleet import RestoredRouter

    from cornellead.gateway.ingress import ResponseWriter
    from cornellead.gateway.relay import RelayedStore
    from cornellead.gateway.relay import RelayPage


@pytest.fixture
async def fleet(free_address: Callable[[], str]) -> AsyncIterator[RestoredFleet]:
    """Yield a reader and two followers that have read version 4, with a store at offset 1."""
    fleet = RestoredFleet(free_address, routers=3)
    await fleet.start()
    fleet.put_config(4)
    fleet.put_server("s1")
    await fleet.read(Topic.OPERATOR)
    await fleet.read(Topic.SERVERS)
    yield fleet
    fleet.stop()


def _log(router: RestoredRouter, topic: Topic) -> Position:
    page = router.store.logs[topic].read(None, now=router.clock())
    assert page is not None
    return page.position


async def test_reader_of_a_store_that_has_grown_past_its_offset_misses_nothing(
    fleet: RestoredFleet,
) -> None:
    """Guards against a reader that goes on at its offset among the records of another history."""
    copy = fleet.store.copy()
    fleet.put_server("lost")
    reader = fleet.routers[0]
    await reader.read(Topic.SERVERS)
    fleet.store.restore(copy)
    for name in ("s2", "s3", "s4"):
        fleet.put_server(name)
    await reader.read(Topic.SERVERS, times=3)
    assert {"s1", "s2", "s3", "s4"} <= reader.usable


async def test_follower_of_a_reader_in_the_new_history_takes_the_next_version(
    fleet: RestoredFleet,
) -> None:
    """Guards against a follower that is taken for one ahead of its reader and never gets the record
    at the offset that was given out again."""
    copy = fleet.store.copy()
    fleet.put_config(7)
    await fleet.read(Topic.OPERATOR)
    fleet.store.restore(copy)
    await fleet.read(Topic.OPERATOR, times=3)
    fleet.put_config(9)
    await fleet.read(Topic.OPERATOR, times=3)
    assert [router.version for router in fleet.routers] == [9, 9, 9]


async def test_follower_of_a_restarted_reader_takes_the_next_version(fleet: RestoredFleet) -> None:
    """Guards against a follower that keeps the offset of a lost history when its reader starts
    anew in the later one."""
    copy = fleet.store.copy()
    fleet.put_config(7)
    await fleet.read(Topic.OPERATOR)
    fleet.store.restore(copy)
    reader = await fleet.restart(0)
    await reader.read(Topic.OPERATOR, times=2)
    follower = fleet.routers[2]
    await follower.read(Topic.OPERATOR, times=3)
    fleet.put_config(9)
    await reader.read(Topic.OPERATOR, times=2)
    await follower.read(Topic.OPERATOR, times=3)
    assert follower.version == 9


async def test_newest_records_of_two_histories_are_not_mixed(
    fleet: RestoredFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a list whose first pages are from before the store came back from a copy."""
    copy = fleet.store.copy()
    for name in ("s2", "s3", "s4"):
        fleet.put_server(name)
    respond = fleet.store._respond_newest

    def respond_then_restore(params: dict[str, str], out: ResponseWriter) -> None:
        respond(params, out)
        if fleet.store.era == 1:
            fleet.store.restore(copy)
            fleet.put_server("s5")

    monkeypatch.setattr(fleet.store, "_respond_newest", respond_then_restore)
    client = fleet.routers[0].store._store
    batch = (await client.read_newest(Topic.SERVERS)).unwrap()
    assert [n.server for n in batch.notices if isinstance(n, ServerNotice)] == ["s1", "s5"]
    assert batch.position == Position(2, era=2)


async def test_page_from_before_the_loss_does_not_bring_a_router_back(
    fleet: RestoredFleet,
) -> None:
    """Guards against a router that returns to the offsets of a lost history with a recent page of
    another router."""
    copy = fleet.store.copy()
    fleet.put_config(7)
    await fleet.read(Topic.OPERATOR)
    fleet.store.restore(copy)
    reader = fleet.routers[0]
    await reader.read(Topic.OPERATOR, times=2)
    assert _log(reader, Topic.OPERATOR) == Position(1, era=2)
    reader.store_path.cut_off = True
    await reader.read(Topic.OPERATOR, times=3)
    assert _log(reader, Topic.OPERATOR) == Position(1, era=2)


async def test_delayed_answer_of_the_store_does_not_bring_a_router_back(
    fleet: RestoredFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a long poll of the earlier history that ends after the later one was met."""
    store: RelayedStore = fleet.routers[0].store
    delayed = await store._store.read_after(Topic.OPERATOR, position=Position(0, era=1), wait_s=0.0)
    delayed_newest = await store._store.read_newest(Topic.OPERATOR)
    fleet.store.restore({})
    fleet.put_config(9)
    await fleet.routers[0].read(Topic.OPERATOR, times=2)

    async def respond_late(topic: Topic, **arguments: object) -> object:
        return delayed if arguments else delayed_newest

    for name in ("read_after", "read_newest"):
        monkeypatch.setattr(store._store, name, respond_late)
    later = await store.read_after(Topic.OPERATOR, position=Position(1, era=2), wait_s=0.0)
    assert isinstance(later, Failure)
    assert isinstance(await store.read_newest(Topic.OPERATOR), Failure)
    assert _log(fleet.routers[0], Topic.OPERATOR) == Position(1, era=2)


async def test_two_restored_copies_in_a_row_are_followed(fleet: RestoredFleet) -> None:
    """Guards against routers that handle one loss and miss the next one."""
    for version in (7, 9, 11):
        copy = fleet.store.copy()
        fleet.put_config(version)
        fleet.put_server(f"lost-{version}")
        for topic in (Topic.OPERATOR, Topic.SERVERS):
            await fleet.read(topic)
        fleet.store.restore(copy)
        fleet.put_server(f"kept-{version}")
        fleet.put_config(version)
    for topic in (Topic.OPERATOR, Topic.SERVERS):
        await fleet.read(topic, times=4)
    fleet.put_config(13)
    await fleet.read(Topic.OPERATOR, times=4)
    assert [router.version for router in fleet.routers] == [13, 13, 13]
    assert all({"kept-7", "kept-9", "kept-11"} <= router.usable for router in fleet.routers)


async def test_empty_copy_is_followed_by_all_routers(fleet: RestoredFleet) -> None:
    """Guards against routers that wait at an offset of an empty topic."""
    fleet.store.restore({})
    await fleet.read(Topic.OPERATOR, times=3)
    assert [router.version for router in fleet.routers] == [4, 4, 4]
    fleet.put_config(5)
    await fleet.read(Topic.OPERATOR, times=3)
    assert [router.version for router in fleet.routers] == [5, 5, 5]


async def test_restore_while_the_reader_of_a_data_centre_is_cut_off(fleet: RestoredFleet) -> None:
    """Guards against followers that are taken back to a lost history by a reader that could not
    see the new one."""
    copy = fleet.store.copy()
    fleet.put_config(7)
    await fleet.read(Topic.OPERATOR)
    fleet.routers[0].store_path.cut_off = True
    fleet.store.restore(copy)
    fleet.put_config(9)
    await fleet.read(Topic.OPERATOR, times=4)
    assert [router.version for router in fleet.routers] == [9, 9, 9]
    assert {_log(router, Topic.OPERATOR).era for router in fleet.routers} == {2}


def _without_era(router: RestoredRouter, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a router respond to others as one of an earlier build does."""
    log = router.store.logs[Topic.OPERATOR]
    read = log.read

    def read_without_era(position: Position | None, *, now: float) -> RelayPage | None:
        page = read(None if position is None else Position(position.offset), now=now)
        return None if page is None else page._replace(era=UNKNOWN_ERA)

    monkeypatch.setattr(log, "read", read_without_era)


async def test_pages_of_an_earlier_build_are_used_until_the_store_was_restored(
    fleet: RestoredFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against routers that all read the store during a rollout, and against one that follows
    a lost history with a router that does not know of eras."""
    reader, _, follower = fleet.routers
    _without_era(reader, monkeypatch)
    fleet.put_config(7)
    await reader.read(Topic.OPERATOR)
    calls = len(fleet.store.called_paths)
    await follower.read(Topic.OPERATOR, times=3)
    assert (follower.version, len(fleet.store.called_paths)) == (7, calls)
    fleet.store.restore(fleet.store.copy())
    await follower.read(Topic.SERVERS, times=3)
    fleet.put_config(9)
    follower.view.history.meet(Topic.OPERATOR, 2, now=follower.clock())
    await follower.read(Topic.OPERATOR, times=3)
    assert (follower.version, _log(follower, Topic.OPERATOR).era) == (9, 2)


async def test_router_of_an_earlier_build_gets_changes_without_naming_an_era(
    fleet: RestoredFleet,
) -> None:
    """Guards against routers of an earlier build that get whole snapshots at each read."""
    fleet.store.restore(fleet.store.copy())
    reader = fleet.routers[0]
    await reader.read(Topic.OPERATOR, times=2)
    page = reader.store.logs[Topic.OPERATOR].read(Position(1), now=reader.clock())
    assert page is not None and not page.snapshot and page.notices == []


async def test_reader_that_is_behind_is_not_used(fleet: RestoredFleet) -> None:
    """Guards against followers of a reader that has not noticed the loss."""
    fleet.store.restore(fleet.store.copy())
    fleet.put_config(7)
    follower = fleet.routers[2]
    follower.view.history.meet(Topic.OPERATOR, 2, now=follower.clock())
    await follower.read(Topic.OPERATOR, times=3)
    assert (follower.version, follower.store.relayed) == (7, 2)


def _skip_time(fleet: RestoredFleet, seconds: float) -> None:
    for router in fleet.routers:
        router.now_offset_s += seconds


async def test_server_that_returned_while_the_store_settled_is_used_by_followers(
    fleet: RestoredFleet,
) -> None:
    """Guards against a server that followers take for one of the copy for good."""
    copy = fleet.store.copy()
    fleet.store.put(SERVERS, "s1", None)
    await fleet.read(Topic.SERVERS)
    assert [router.usable for router in fleet.routers] == [set(), set(), set()]
    fleet.store.restore(copy)
    await fleet.read(Topic.SERVERS, times=3)
    fleet.put_server("s1", sequence=9)
    await fleet.read(Topic.SERVERS, times=2)
    _skip_time(fleet, SETTLE_S)
    await fleet.read(Topic.SERVERS, times=2)
    assert [router.usable for router in fleet.routers] == [{"s1"}, {"s1"}, {"s1"}]


async def test_data_centre_returned_while_the_store_settled_is_back_in_service(
    fleet: RestoredFleet,
) -> None:
    """Guards against a data centre that stays out for good since its return was never listed."""
    copy = fleet.store.copy()
    fleet.store.put(OPERATOR, "evacuate/kgl-a", {})
    await fleet.read(Topic.OPERATOR)
    fleet.store.restore(copy)
    await fleet.read(Topic.OPERATOR, times=3)
    out = [router.view.servers.data_centres_out_of_service for router in fleet.routers]
    assert out == [{"kgl-a"}] * 3
    _skip_time(fleet, SETTLE_S)
    await fleet.read(Topic.OPERATOR, times=3)
    out = [router.view.servers.data_centres_out_of_service for router in fleet.routers]
    assert out == [set()] * 3
