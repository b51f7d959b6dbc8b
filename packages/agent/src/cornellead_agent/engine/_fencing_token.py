"""Fencing token, which distinguishes the current agent of a server from those it replaced."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead_core.distribution import first_number
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import are_different

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.platform import LogClient
    from cornellead_core.platform import LogRecord

PAGE_RECORDS = 1000
CONFIRMATION_S = 1.0
"""Age up to which the confirmation of a token is acted on."""
TAKEOVER_DELAY_S = 2 * CONFIRMATION_S
"""Time after which a replaced agent has stopped to act on its last confirmation, and its last
command has ended at the engine."""


def _read_clock() -> float:
    # Includes the time for which the host was suspended.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FencingToken:
    """Fencing token from the stream ``fence.<server>`` of the log.

    Each agent process appends one record, whose offset is its token, so later processes have higher
    tokens. An agent that reads a record after its own has been replaced and loses its token. An
    engine may ignore tokens, so the confirmation of a token ends by time, and an agent that
    replaces another one waits until that one has no valid confirmation left.

    If the log came back from an older copy without its record, an agent appends another one, unless
    the log has a record of an agent that is not known to be earlier. Tokens of a later era of the
    log are higher.

    :param owner: Id of the process, by which it recognises its own record.
    :param clock: Returns seconds, including the time for which the host was suspended.
    """

    def __init__(
        self,
        *,
        log: LogClient,
        server: str,
        owner: str,
        clock: Callable[[], float] = _read_clock,
    ) -> None:
        self._log = log
        self._stream = f"fence.{server}"
        self._owner = owner
        self._era = UNKNOWN_ERA
        self._next_offset = 0
        self._appended = False
        self._own_offset = -1
        self._had_record = False
        self._earlier_owners: set[str] = set()
        self._replaced = False
        self._clock = clock
        self._confirmed_at = float("-inf")
        self._usable_at = float("-inf")

    @property
    def replaced(self) -> bool:
        """Whether a later agent has a record, or had one in a lost history of the log."""
        return self._replaced

    @property
    def confirmed(self) -> bool:
        """Whether the latest token may still be acted on, for example after a pause."""
        return self._clock() - self._confirmed_at < CONFIRMATION_S

    async def token(self) -> int | None:
        """Return the token, or ``None`` if it cannot be confirmed as the highest or may not be used
        yet."""
        if not await self._read_to_end() or self._replaced:
            return None
        if self._own_offset < 0 and not self._appended:
            # If the response is lost, the record is searched for in the stream, not appended again.
            self._appended = True
            appended = await self._log.append(self._stream, [{"owner": self._owner}])
            if not isinstance(appended, Success) and appended.failure().value == "rejected":
                self._appended = False
            if not await self._read_to_end():
                return None
        if self._own_offset < 0 or self._replaced or self._clock() < self._usable_at:
            return None
        return first_number(self._era) + self._own_offset if self.confirmed else None

    async def _read_to_end(self) -> bool:
        # A token is confirmed as of the time at which it was asked for.
        asked_at = self._clock()
        while True:
            read = await self._log.read(
                self._stream, from_offset=self._next_offset, limit=PAGE_RECORDS
            )
            if not isinstance(read, Success):
                return False
            page = read.unwrap()
            if are_different(self._era, page.era):
                self._begin_era(page.era)
                continue
            self._era = max(self._era, page.era)
            for record in page.records:
                self._apply(record)
            self._next_offset = max(page.next_offset, page.oldest_offset)
            if self._next_offset >= page.end_offset:
                self._confirmed_at = asked_at
                return True

    def _apply(self, record: LogRecord) -> None:
        owner = str(record.value.get("owner"))
        if owner == self._owner:
            self._own_offset = record.offset
            self._had_record = True
            if record.offset > 0 or self._era > 0:
                self._usable_at = self._clock() + TAKEOVER_DELAY_S
        elif not self._had_record:
            self._earlier_owners.add(owner)
        elif owner not in self._earlier_owners:
            self._replaced = True

    def _begin_era(self, era: int) -> None:
        self._era = era
        self._next_offset = 0
        self._own_offset = -1
        self._appended = False
