"""Writes of servers that the store executes late, when another router has become the reader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.restored_fleet import SERVERS
from tests.router.gateway.restored_fleet import RestoredFleet

from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from tests.router.gateway.restored_fleet import RestoredRouter

BORN = 1_000
LATE = 7
"""Count of the write that the store executes late; the answer to it was lost."""
LAST = 10


@pytest.fixture
async def fleet(free_address: Callable[[], str]) -> AsyncIterator[RestoredFleet]:
    """Yield a reader and a follower that know a server which has been renewed up to a count."""
    fleet = RestoredFleet(free_address, routers=2)
    await fleet.start()
    fleet.put_server("stays", born=BORN, sequence=1)
    for sequence in range(1, LAST + 1):
        if sequence != LATE:
            fleet.put_server("s1", born=BORN, sequence=sequence)
        await fleet.read(Topic.SERVERS)
    yield fleet
    fleet.stop()


async def _execute_late(fleet: RestoredFleet, **changes: object) -> None:
    fleet.put_server("s1", **{"born": BORN, "sequence": LATE, **changes})
    await fleet.read(Topic.SERVERS, times=2)


async def test_late_write_after_the_planned_stop_of_the_reader(fleet: RestoredFleet) -> None:
    """Guards against requests to a server that has left, whose late write brings it back at the
    router that reads the store from then on (review/15)."""
    fleet.remove_server("s1")
    await fleet.read(Topic.SERVERS)
    fleet.end(0)
    await _execute_late(fleet)
    assert fleet.routers[0].usable == {"stays"}


@pytest.mark.parametrize("renewals", [0, 1])
async def test_late_write_after_a_removal_that_only_the_new_reader_sees(
    fleet: RestoredFleet, renewals: int
) -> None:
    """Guards against the same if the reader is killed before the server leaves: its counts end with
    it."""
    fleet.routers[0].listener.stop_accepting()
    fleet.end(0)
    for number in range(renewals):
        fleet.put_server("s1", born=BORN, sequence=LAST + 1 + number)
    fleet.remove_server("s1")
    await fleet.read(Topic.SERVERS, times=2)
    await _execute_late(fleet)
    assert fleet.routers[0].usable == {"stays"}


@pytest.mark.parametrize("seen", [False, True])
async def test_late_write_of_a_draining_server(fleet: RestoredFleet, seen: bool) -> None:
    """Guards against requests to a draining server that a late write calls ready, whether the new
    reader has the last entry from the reader before or from the store."""
    fleet.put_server("s1", born=BORN, sequence=LAST + 1, state="draining")
    if seen:
        await fleet.read(Topic.SERVERS)
    fleet.end(0)
    await fleet.read(Topic.SERVERS, times=2)
    await _execute_late(fleet)
    assert fleet.routers[0].usable == {"stays"}


async def test_late_write_after_the_reader_has_started_over(fleet: RestoredFleet) -> None:
    """Guards against a late write that a reader passes on since it has lost the counts of servers
    that left, when the store no longer has the records after its offset."""
    fleet.remove_server("s1")
    await fleet.read(Topic.SERVERS)
    fleet.store.expire_records(SERVERS)
    fleet.put_server("stays", born=BORN, sequence=2)
    fleet.store.expire_records(SERVERS)
    await fleet.read(Topic.SERVERS, times=3)
    await _execute_late(fleet)
    assert [router.usable for router in fleet.routers] == [{"stays"}] * 2


async def test_late_write_at_a_router_that_starts_over_with_a_reader(fleet: RestoredFleet) -> None:
    """Guards against a router that is told which servers are listed, not which ones have left."""
    fleet.remove_server("s1")
    await fleet.read(Topic.SERVERS)
    follower = await fleet.restart(1)
    await fleet.read(Topic.SERVERS)
    fleet.end(0)
    await _execute_late(fleet)
    assert follower.usable == {"stays"}


async def test_late_write_at_a_reader_that_starts_anew(fleet: RestoredFleet) -> None:
    """Guards against a restarted reader that has its list from the store, which does not name the
    servers that have left."""
    fleet.remove_server("s1")
    await fleet.read(Topic.SERVERS)
    reader = await fleet.restart(0)
    await reader.read(Topic.SERVERS, times=2)
    await _execute_late(fleet)
    assert [router.usable for router in fleet.routers] == [{"stays"}] * 2


async def _take_over(fleet: RestoredFleet) -> RestoredRouter:
    fleet.remove_server("s1")
    await fleet.read(Topic.SERVERS)
    fleet.end(0)
    await fleet.read(Topic.SERVERS)
    return fleet.routers[0]


async def test_entry_that_is_back_with_a_later_count_is_used(fleet: RestoredFleet) -> None:
    """Guards against a sound server that stays out after its entry had lapsed."""
    router = await _take_over(fleet)
    await _execute_late(fleet, sequence=LAST + 1)
    assert router.usable == {"s1", "stays"}


async def test_server_that_starts_again_under_its_id_is_used(fleet: RestoredFleet) -> None:
    """Guards against a restarted server that stays out, since its counts start anew."""
    router = await _take_over(fleet)
    await _execute_late(fleet, born=BORN + 1, sequence=1)
    assert router.usable == {"s1", "stays"}


async def test_renewals_after_the_change_of_the_reader_are_used(fleet: RestoredFleet) -> None:
    """Guards against sound servers that are dropped by a router which learns their counts."""
    fleet.end(0)
    fleet.put_server("s1", born=BORN, sequence=LAST + 1, state="draining")
    fleet.put_server("s2", born=BORN, sequence=1)
    await fleet.read(Topic.SERVERS, times=2)
    fleet.put_server("stays", born=BORN, sequence=2)
    await fleet.read(Topic.SERVERS)
    assert fleet.routers[0].usable == {"s2", "stays"}


async def test_late_write_that_is_read_together_with_the_removal(fleet: RestoredFleet) -> None:
    """Guards against a late write that passes since the removal before it is in the same read."""
    fleet.end(0)
    fleet.remove_server("s1")
    await _execute_late(fleet)
    assert fleet.routers[0].usable == {"stays"}


async def test_return_that_is_read_together_with_the_removal(fleet: RestoredFleet) -> None:
    """Guards against a sound server that stays out, since its count counts as that of its removed
    entry."""
    fleet.end(0)
    fleet.remove_server("s1")
    await _execute_late(fleet, sequence=LAST + 1)
    assert fleet.routers[0].usable == {"s1", "stays"}


async def test_log_names_late_writes_and_deferred_removals(
    fleet: RestoredFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a server that gets requests, or none, without a line that tells why."""
    reader = fleet.routers[0]
    fleet.remove_server("s1")
    await reader.read(Topic.SERVERS)
    fleet.put_server("s1", born=BORN, sequence=LATE)
    await reader.read(Topic.SERVERS)
    reader.view.servers.mark_store_unavailable()
    fleet.remove_server("stays")
    await reader.read(Topic.SERVERS)
    out = capsys.readouterr().out
    assert "late entry dropped" in out and "removal deferred" in out
