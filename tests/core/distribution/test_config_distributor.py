"""Tests of the config distributor over real sockets, with a log that some processes can't reach."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.auth import FleetKey
from cornellead_core.blackboard import Blackboard
from cornellead_core.blackboard import run_controllers
from cornellead_core.distribution import ConfigDistributor
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.platform import AppendError
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import LogPage
from cornellead_core.platform import LogRecord
from cornellead_core.platform import PlatformError
from cornellead_core.settings import ProcessSettings
from cornellead_core.wire import Ack
from cornellead_core.wire import ControlClient
from cornellead_core.wire import ControlServer
from cornellead_core.wire import Message
from cornellead_core.wire import Traffic

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

KEY = FleetKey(secret=b"0123456789abcdef")


class _FakeLog:
    def __init__(self, records: list[LogRecord], *, reachable: bool) -> None:
        self._records = records
        self._reachable = reachable

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        return Failure(AppendError.REJECTED)

    async def read(
        self, stream: str, *, from_offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, PlatformError]:
        await asyncio.sleep(0.01)
        if not self._reachable:
            return Failure(PlatformError("log unreachable"))
        end = len(self._records)
        return Success(LogPage(self._records[from_offset:], end, 0, end, 1e9, 0))


def _make_change(offset: int) -> LogRecord:
    objects = {f"model/m{offset}": {"description": "d"}}
    change = {"kind": "change", "change_id": str(offset), "author": "a", "base": offset - 1}
    return LogRecord(offset, offset, {**change, "objects": objects})


async def test_change_reaches_a_process_that_cannot_read_the_log(
    free_address: Callable[[], str],
) -> None:
    """Guards against messages that in-memory fakes accept but the wire format does not."""
    records = [_make_change(0), _make_change(1)]
    names = ["a-0", "a-1", "b-0"]
    hosts = []
    for name in names:
        addresses = free_address(), free_address()
        hosts.append(HostEntry(name, HostKind.AGENT, "r", name[0], *addresses))
    boards, tasks, clients = [], [], []
    for host in hosts:
        board = Blackboard()
        board.write(HOSTS, tuple(hosts))
        client = ControlClient(key=KEY, traffic=Traffic())
        distributor = ConfigDistributor(
            board=board,
            log=_FakeLog(records, reachable=host.name == "a-0"),
            client=client,
            settings=ProcessSettings(
                host.name, host.region, host.dc, host.http, host.control, "", "k" * 16
            ),
        )

        async def handle(message: Message, distributor: ConfigDistributor = distributor) -> Message:
            return await distributor.handle(message) or Ack()

        server = ControlServer(address=host.control, key=KEY, traffic=Traffic(), handler=handle)
        tasks.append(asyncio.create_task(run_controllers([server, distributor])))
        boards.append(board)
        clients.append(client)
    for offset in (1, 2):
        while any(board.read(CONFIG).offset < offset for board in boards):
            assert not any(task.done() for task in tasks)
            await asyncio.sleep(0.01)
        records.append(_make_change(offset + 1))
    assert all({"m0", "m1"} <= board.read(CONFIG).models for board in boards)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for client in clients:
        client.close()
