"""Publishing of a change: append to the log, then search for the decision on it."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.cli._exit_code import ExitCode
from cornellead_core.config import STREAM
from cornellead_core.config import AuditRecord
from cornellead_core.config import ChangeRecord
from cornellead_core.platform import AppendError
from cornellead_core.routing import are_different

if TYPE_CHECKING:
    from cornellead.cli._config_history import ConfigHistory
    from cornellead_core.platform import LogClient

RETRY_INTERVAL_S = 0.25


class PublishFailure(NamedTuple):
    """No decision on a change could be read from the log."""

    code: ExitCode
    message: str
    """What happened to the change, and what the operator should do."""


class Publisher:
    """Appends a change and reads the log until the decision on it is found.

    :param history: Reader of the configuration stream, refreshed at least once.
    :param timeout_s: Maximum time to retry the append and to wait for the decision, in seconds.
    """

    def __init__(self, *, log: LogClient, history: ConfigHistory, timeout_s: float) -> None:
        self._log = log
        self._history = history
        self._timeout_s = timeout_s

    async def publish(
        self, objects: dict[str, dict[str, Any] | None], *, author: str, base: int
    ) -> Result[AuditRecord, PublishFailure]:
        """Publish a change and return the decision on it.

        A failed append is retried with the same change id. This is idempotent: the reducer ignores
        a second copy, so the change is applied once even if the response to the first append was
        lost. So is one whose record was lost because the log came back from an older copy.

        :param objects: New value by object name; ``None`` deletes the object.
        :param base: Offset of the configuration that the change is based on.
        """
        change = ChangeRecord(uuid.uuid4().hex, author, base, objects, time.time())
        deadline = time.monotonic() + self._timeout_s
        stored, maybe_stored, message = False, False, ""
        while True:
            if not stored:
                appended = await self._log.append(STREAM, [change.to_record()])
                stored = isinstance(appended, Success)
                maybe_stored = maybe_stored or stored or appended.failure() is AppendError.UNKNOWN
            era = self._history.era
            refreshed = await self._history.refresh()
            if are_different(era, self._history.era):
                stored = False
            audit = self._history.find_decision(change.change_id)
            if audit is not None:
                return Success(audit)
            if not isinstance(refreshed, Success):
                message = refreshed.failure().message
            if time.monotonic() >= deadline:
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
        return Failure(_describe_failure(maybe_stored=maybe_stored, message=message))


def _describe_failure(*, maybe_stored: bool, message: str) -> PublishFailure:
    reason = f" ({message})" if message else ""
    if maybe_stored:
        return PublishFailure(
            ExitCode.UNKNOWN,
            f"the log did not confirm the change{reason}; it may still take effect. Run the same "
            "command again: a change that took effect is then reported as unchanged.",
        )
    return PublishFailure(
        ExitCode.UNAVAILABLE,
        f"the log did not accept the change{reason}; nothing was changed. Try again later.",
    )
