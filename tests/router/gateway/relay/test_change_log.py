"""Tests of the log of notices that a router relays to others."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry

from cornellead.gateway.relay import ChangeLog
from cornellead.gateway.relay import RelayPage
from cornellead.gateway.relay._relay_codec import decode_page
from cornellead.gateway.relay._relay_codec import encode_page
from cornellead_core.routing import DataCentreNotice
from cornellead_core.routing import Position
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import RouterNotice
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import ServerNotice

CHANGES = st.lists(
    st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(["ready", "draining", "removed"]))),
    max_size=12,
)


def _notice(server: str, state: str) -> ServerNotice:
    if state == "removed":
        return ServerNotice(server, None, removed=True)
    return ServerNotice(server, make_entry(server, draining=state == "draining"), removed=False)


@given(batches=CHANGES, read_at=st.sets(st.integers(0, 11)), gaps=st.floats(0.1, 40.0))
def test_client_state_converges_to_the_store(
    batches: list[list[tuple[str, str]]], read_at: set[int], gaps: float
) -> None:
    """Guards against lost changes between routers, however rarely one reads."""
    log = ChangeLog()
    log.replace([], Position(0), now=0.0)
    expected: dict[str, ServerNotice] = {}
    applied: dict[str, ServerNotice] = {}
    position: Position | None = None
    end = 0
    for number, batch in enumerate([*batches, []]):
        now = (number + 1) * gaps
        notices = [_notice(*change) for change in batch]
        end += len(notices)
        log.add(notices, Position(end), now=now)
        expected.update({notice.server: notice for notice in notices})
        if number in read_at or number == len(batches):
            page = log.read(position, now=now)
            assert page is not None
            if page.snapshot:
                applied = {}
            applied.update({n.server: n for n in page.notices if isinstance(n, ServerNotice)})
            position = page.position
    present = {name: notice for name, notice in expected.items() if notice.entry is not None}
    assert {name: n for name, n in applied.items() if n.entry is not None} == present
    assert position == Position(end)


def test_renewals_are_not_relayed() -> None:
    """Guards against control traffic that grows with the heartbeats of a thousand servers."""
    log = ChangeLog()
    log.replace([_notice("a", "ready")], Position(1), now=0.0)
    for number in range(100):
        log.add([_notice("a", "ready")], Position(number + 2), now=float(number))
    page = log.read(Position(1), now=100.0)
    assert page is not None and page.notices == [] and page.next_offset == 101


def test_counted_renewals_are_not_relayed() -> None:
    """Guards against control traffic that grows with the count in each renewal of an entry."""
    log = ChangeLog()
    log.replace([], Position(0), now=0.0)
    for number in range(9):
        entry = make_entry("a", sequence=number + 1)
        log.add([ServerNotice("a", entry, removed=False)], Position(number + 1), now=0.0)
    page = log.read(Position(1), now=0.0)
    assert page is not None and page.notices == []


def _counted(sequence: int, *, draining: bool = False, started_ms: int = 5) -> ServerNotice:
    entry = make_entry("s1", draining=draining, sequence=sequence, started_ms=started_ms)
    return ServerNotice("s1", entry, removed=False)


@pytest.mark.parametrize("snapshot", [False, True])
@pytest.mark.parametrize("removed", [False, True])
def test_write_that_the_store_executes_late_is_not_passed_on(snapshot: bool, removed: bool) -> None:
    """Guards against a draining server that is ready again at the routers which read here
    (review/3)."""
    log = ChangeLog()
    log.replace([_counted(7)], Position(1), now=0.0)
    log.add([_counted(9, draining=True)], Position(2), now=1.0)
    if removed:
        log.add([ServerNotice("s1", None, removed=True)], Position(3), now=2.0)
    if snapshot:
        log.replace([_counted(8)], Position(4), now=3.0)
    else:
        log.add([_counted(8)], Position(4), now=3.0)
    page = log.read(None, now=3.5)
    assert page is not None
    expected = [] if removed else [_counted(0, draining=True)]
    assert page.notices == expected


def test_entry_of_a_restarted_server_is_passed_on() -> None:
    """Guards against a server that stays out because its counts start anew."""
    log = ChangeLog()
    log.replace([_counted(9, draining=True)], Position(1), now=0.0)
    log.add([_counted(1, started_ms=6)], Position(2), now=1.0)
    page = log.read(Position(1), now=1.5)
    assert page is not None and page.notices == [_counted(0, started_ms=6)]


def test_age_grows_during_a_store_outage() -> None:
    """Guards against old notices that are relayed as current ones."""
    log = ChangeLog()
    assert log.read(None, now=0.0) is None
    log.replace([], Position(3), now=1.0)
    page = log.read(Position(3), now=4.5)
    assert page is not None and page.age_s == 3.5


def test_all_kinds_of_notices_round_trip() -> None:
    """Guards against fields that are lost between routers of the same version."""
    page = RelayPage(
        notices=[
            RoutingNotice(make_config(9).data, ""),
            DataCentreNotice("dc-a", out=True),
            _notice("a", "draining"),
            RouterNotice("r1", RouterLocation("10.0.0.1:7", "dc-a")),
        ],
        next_offset=7,
        snapshot=True,
        age_s=0.25,
    )
    assert decode_page(encode_page(page)) == page


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x90", b"text"])
def test_invalid_bytes_are_rejected(data: bytes) -> None:
    """Guards against a crash when another kind of process responds on the port."""
    assert decode_page(data) is None


async def test_wait_that_is_cancelled_as_a_change_arrives_ends() -> None:
    """Guards against a request that goes on after its connection was closed, since its cancellation
    was swallowed."""
    log = ChangeLog()
    log.replace([], Position(1), now=0.0)

    async def wait_and_go_on() -> None:
        await log.wait(Position(1), timeout_s=5.0)
        await asyncio.sleep(0.2)

    task = asyncio.create_task(wait_and_go_on())
    await asyncio.sleep(0.01)
    log.add([_notice("a", "ready")], Position(2), now=1.0)
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task], timeout=0.5)
    assert task.cancelled()
