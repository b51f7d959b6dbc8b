"""Publishing of a change while the log comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from returns.result import Result
from returns.result import Success

from cornellead.cli._config_history import ConfigHistory
from cornellead.cli._publisher import Publisher
from cornellead_core.blackboard import Blackboard
from cornellead_core.distribution import ConfigStore
from cornellead_core.distribution._offset_numbers import number_page
from cornellead_core.platform import AppendError
from cornellead_core.platform import LogPage
from cornellead_core.platform import PlatformError
from cornellead_standins.platform import LogStore

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

NOW_MS = 1_700_000_000_000


class _Log:
    """Client of a log that comes back from its copy after a given number of appends."""

    def __init__(self, *, restored_after: int) -> None:
        self.store = LogStore(retention_s=1e9, retention_records=1000)
        self._appends_left = restored_after

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        first = self.store.append(stream, [dict(value) for value in values], time_ms=NOW_MS)
        self._appends_left -= 1
        if self._appends_left == 0:
            self.store.restore_copy(time_ms=NOW_MS)
        return Success(first)

    async def read(
        self, stream: str, *, from_offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, PlatformError]:
        page = self.store.read(stream, from_offset=from_offset, limit=limit, time_ms=NOW_MS)
        return Success(LogPage(*page.values()))


async def test_change_that_the_log_lost_is_appended_again() -> None:
    """Guards against a change that the command line waits for in a lost history."""
    log = _Log(restored_after=1)
    history = ConfigHistory(log=log)
    await history.refresh()
    publisher = Publisher(log=log, history=history, timeout_s=1.0)
    outcome = await publisher.publish({"model/a": {}}, author="a", base=-1)
    assert isinstance(outcome, Success) and outcome.unwrap().accepted
    assert log.store.end_offset("config") == 1


async def test_command_line_and_processes_number_offsets_alike() -> None:
    """Guards against a change that counts as in force at processes of the lost history."""
    log = _Log(restored_after=-1)
    log.store.restore_copy(time_ms=NOW_MS)
    history = ConfigHistory(log=log)
    publisher = Publisher(log=log, history=history, timeout_s=1.0)
    outcome = await publisher.publish({"model/a": {}}, author="a", base=-1)
    store = ConfigStore(board=Blackboard())
    store.begin_era(1, restored_ms=NOW_MS)
    page = (await log.read("config", from_offset=0)).unwrap()
    store.apply(number_page(page, era=0).records)
    assert history.number(outcome.unwrap().offset) == store.offset > 1000
