"""Configuration that a request shows to be newer."""

from __future__ import annotations

import asyncio

from cornellead_agent.facts import NEEDED_CONFIG
from cornellead_agent.process import ConfigPuller
from cornellead_core.blackboard import Blackboard
from cornellead_core.config import EMPTY_CONFIG
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.settings import ProcessSettings

NEEDED = 7


class FakeDistributor:
    """Reaches the needed offset at the second pull."""

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self.addresses: list[str] = []
        self.done = asyncio.Event()

    async def pull(self, control_address: str) -> None:
        """Record a pull."""
        self.addresses.append(control_address)
        if len(self.addresses) == 2:
            self._board.write(CONFIG, EMPTY_CONFIG._replace(offset=NEEDED))
            self.done.set()


async def test_agent_pulls_from_near_routers_until_it_has_the_offset() -> None:
    """Guards against an agent that refuses ``stale_config`` until the next comparison of peers."""
    board = Blackboard()
    distributor = FakeDistributor(board)
    hosts = [
        HostEntry("r0", HostKind.ROUTER, "r", "dc0", "", "near"),
        HostEntry("r1", HostKind.ROUTER, "r", "dc1", "", "far"),
        HostEntry("m0", HostKind.AGENT, "r", "dc0", "", "agent"),
    ]
    board.write(HOSTS, tuple(hosts))
    puller = ConfigPuller(
        board=board,
        distributor=distributor,  # type: ignore[arg-type]
        settings=ProcessSettings("m0", "r", "dc0", "", "", "", "k" * 16),
    )
    running = asyncio.create_task(puller.run())
    await asyncio.sleep(0)
    assert distributor.addresses == []
    board.write(NEEDED_CONFIG, NEEDED)
    await distributor.done.wait()
    running.cancel()
    assert distributor.addresses == ["near", "near"]
