"""Servers that leave, and entries that lapse, around a time in which routers cannot read the store.

Times are in seconds from the end of that time; skipped, not waited for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.restored_fleet import HEARTBEAT_S
from tests.router.gateway.restored_fleet import RestoredFleet

from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

READ_INTERVAL_S = 0.5
FAILED_READ_S = 1.3
"""Time of a call without an answer, and the pause after it."""
NOTICED_S = FAILED_READ_S
"""Latest first read after the end."""
CONTACT_S, DRAIN_S = 3.0, 2.0
"""A router must have dropped a server so long after the end, and after its removal."""
LAPSE_S = 3 * HEARTBEAT_S
BACK_S = 2.0
"""Time after the end within which sound servers have renewed entries that lapsed."""
BORN = 1_000
OWN, OTHER = "dc-a", "dc-b"
"""Data centre of the routers, and another one."""


class Scene:
    """Servers that renew their entries, and routers that read them, along one time line."""

    def __init__(self, fleet: RestoredFleet, *, begin: float, phase: float) -> None:
        self.fleet = fleet
        self.now = begin - 2.0
        self.cut = (begin, 0.0)
        self.events: list[tuple[float, Callable[[], None]]] = []
        self._counts: dict[str, int] = {}
        self._phase = phase
        self._read_at = self.now

    def renew(self, server: str, *, zone: str = OWN) -> None:
        """Write the entry of a server once more."""
        self._counts[server] = self._counts.get(server, 0) + 1
        self.fleet.put_server(server, born=BORN, sequence=self._counts[server], zone=zone)

    def start(self, server: str, at: float, *, zone: str) -> None:
        """Let a server write its first entry."""
        self.events.append((at, lambda: self.renew(server, zone=zone)))

    def renew_until(self, server: str, end: float, *, start: float | None = None) -> None:
        """Let a server renew its entry once in each heartbeat interval."""
        at = self.now + self._phase if start is None else start
        while at < end:
            self.events.append((at, lambda: self.renew(server)))
            at += HEARTBEAT_S

    def remove(self, server: str, at: float) -> None:
        """Let the store remove an entry."""
        self.events.append((at, lambda: self.fleet.remove_server(server)))

    async def run_until(self, end: float) -> None:
        """Play the events, and the reads of the routers except in the cut."""
        while True:
            self.events.sort(key=lambda event: event[0])
            next_at = min([self._read_at, *(at for at, _ in self.events[:1])])
            if next_at > end:
                return
            self._skip_to(next_at)
            if self.events and self.events[0][0] <= next_at:
                self.events.pop(0)[1]()
                continue
            await self._read()

    async def _read(self) -> None:
        begin, noticed = self.cut[0], NOTICED_S
        for router in self.fleet.routers:
            router.store_path.cut_off = begin <= self.now < noticed
            await router.read(Topic.SERVERS)
        self._read_at += READ_INTERVAL_S
        if begin <= self.now < noticed:
            self._read_at = min(noticed, self.now + FAILED_READ_S)

    def _skip_to(self, at: float) -> None:
        for router in self.fleet.routers:
            router.now_offset_s += at - self.now
        self.now = at

    @property
    def usable(self) -> list[set[str]]:
        return [router.usable for router in self.fleet.routers]


@pytest.fixture
async def fleet(free_address: Callable[[], str]) -> AsyncIterator[RestoredFleet]:
    """Yield a reader and a router that reads from it, which are cut off together."""
    fleet = RestoredFleet(free_address, routers=2)
    await fleet.start()
    yield fleet
    fleet.stop()


def _begin(fleet: RestoredFleet, cut_s: float, phase: float) -> Scene:
    scene = Scene(fleet, begin=-cut_s, phase=phase)
    scene.renew("stays")
    scene.renew("s1")
    return scene


@pytest.mark.parametrize("phase", [0.05, 0.4, 0.8, 1.15])
@pytest.mark.parametrize("removed_at", [-0.5, 0.3, 0.9, 1.6])
@pytest.mark.parametrize("cut_s", [2.2, 3.7, 5.3])
async def test_server_that_leaves_around_the_end_of_a_cut_is_dropped(
    fleet: RestoredFleet, cut_s: float, removed_at: float, phase: float
) -> None:
    """Guards against requests to a server that was renewed up to its removal, which is taken for a
    lapse since the router was cut off (review/13)."""
    scene = _begin(fleet, cut_s, phase)
    scene.renew_until("stays", 9.0)
    scene.renew_until("s1", removed_at)
    scene.remove("s1", removed_at)
    await scene.run_until(max(CONTACT_S, removed_at + DRAIN_S))
    assert scene.usable == [{"stays"}] * 2


@pytest.mark.parametrize("phase", [0.05, 0.8])
@pytest.mark.parametrize("back_at", [0.4, 1.0, BACK_S])
@pytest.mark.parametrize("cut_s", [4.5, 8.0])
async def test_entries_that_lapsed_while_the_store_was_down_stay(
    fleet: RestoredFleet, cut_s: float, back_at: float, phase: float
) -> None:
    """Guards against sound servers that get no requests after an outage of the store, in which none
    of them could renew its entry."""
    scene = _begin(fleet, cut_s, phase)
    for server in ("stays", "s1"):
        scene.renew_until(server, -cut_s)
        scene.remove(server, -cut_s + LAPSE_S)
        scene.renew_until(server, 9.0, start=back_at)
    for end in (0.5, 1.0, NOTICED_S, 2.0, 2.5, 3.0, 4.0, 6.0):
        await scene.run_until(end)
        assert scene.usable == [{"stays", "s1"}] * 2, end


@pytest.mark.parametrize("phase", [0.05, 0.8])
@pytest.mark.parametrize("cut_s", [4.5, 8.0])
async def test_entries_that_lapsed_in_a_cut_of_their_data_centre_stay(
    fleet: RestoredFleet, cut_s: float, phase: float
) -> None:
    """Guards against sound servers that are dropped because the store took writes of others: they
    were cut off together with the router."""
    scene = _begin(fleet, cut_s, phase)
    scene.renew_until("stays", 9.0)
    scene.renew_until("s1", -cut_s)
    scene.remove("s1", -cut_s + LAPSE_S)
    scene.renew_until("s1", 9.0, start=BACK_S)
    for end in (NOTICED_S, 2.0, 2.5, 3.0, 4.0, 6.0):
        await scene.run_until(end)
        assert scene.usable == [{"stays", "s1"}] * 2, end


async def _begin_without_renewals(fleet: RestoredFleet) -> Scene:
    """Return a scene with servers in another data centre, whose renewals the log does not have."""
    scene = Scene(fleet, begin=-5.0, phase=0.0)
    for server in ("s1", "s2", "stays"):
        scene.renew(server, zone=OTHER)
    scene.start("new", -4.5, zone=OTHER)
    return scene


@pytest.mark.parametrize("removed_at", [-0.5, 0.3, 0.9])
async def test_server_of_another_data_centre_is_dropped_if_the_log_has_changes_only(
    fleet: RestoredFleet, removed_at: float
) -> None:
    """Guards against requests to a server that left after a cut of the router's data centre, if the
    log does not tell when it was renewed (the day of review/13)."""
    scene = await _begin_without_renewals(fleet)
    scene.start("newer", -0.8, zone=OTHER)
    scene.remove("s1", removed_at)
    await scene.run_until(CONTACT_S)
    assert scene.usable == [{"s2", "stays", "new", "newer"}] * 2


async def test_entries_of_another_data_centre_that_lapsed_together_stay(
    fleet: RestoredFleet,
) -> None:
    """Guards against sound servers that are dropped because one wrote just before the outage."""
    scene = await _begin_without_renewals(fleet)
    servers = ["s1", "s2", "stays", "new"]
    for number, server in enumerate(servers):
        scene.remove(server, -1.2 + 0.3 * number)
        scene.start(server, 1.0 + 0.3 * number, zone=OTHER)
    for end in (0.5, NOTICED_S, 2.0, 2.5, 3.0, 4.0, 6.0):
        await scene.run_until(end)
        assert all(usable.issuperset(servers[:3]) for usable in scene.usable), end
    assert scene.usable == [set(servers)] * 2


async def test_server_whose_entry_does_not_come_back_is_dropped(fleet: RestoredFleet) -> None:
    """Guards against requests to a server that ended during the outage."""
    scene = _begin(fleet, 6.0, 0.4)
    scene.renew_until("stays", 9.0)
    scene.renew_until("s1", -6.0)
    scene.remove("s1", -6.0 + LAPSE_S)
    await scene.run_until(NOTICED_S + 2.5 + READ_INTERVAL_S)
    assert scene.usable == [{"stays"}] * 2
