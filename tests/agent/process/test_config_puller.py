"""Pulling the configuration that a request requires."""

from __future__ import annotations

import asyncio

from cornellead_agent.facts import REQUIRED_CONFIG_OFFSET
from cornellead_agent.process import ConfigPuller
from cornellead_core.blackboard import Blackboard
from cornellead_core.config import EMPTY_CONFIG
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.settings import ProcessSettings

REQUIRED_OFFSET = 7


class FakeDistributor:
    """Distributor that reaches the required offset with the second pull."""

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self.addresses: list[str] = []
        self.done = asyncio.Event()

    async def pull(self, control_address: str) -> None:
        """Record the address of a pull."""
        self.addresses.append(control_address)
        if len(self.addresses) == 2:
            self._board.write(CONFIG, EMPTY_CONFIG._replace(offset=REQUIRED_OFFSET))
            self.done.set()


async def test_pulls_from_routers_of_the_same_data_centre_until_the_offset_is_reached() -> None:
    """Guards against an agent that refuses requests until its next periodic exchange with a peer.

    An agent whose configuration is older than the router's refuses with ``stale_config``.
    """
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
    task = asyncio.create_task(puller.run())
    await asyncio.sleep(0)
    assert distributor.addresses == []
    board.write(REQUIRED_CONFIG_OFFSET, REQUIRED_OFFSET)
    await distributor.done.wait()
    task.cancel()
    assert distributor.addresses == ["near", "near"]
