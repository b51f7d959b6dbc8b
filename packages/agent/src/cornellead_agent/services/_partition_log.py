"""Appends to and reads from the claims stream of one partition."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead_agent.services._outbox import EPOCH_NAME
from cornellead_agent.services._outbox import Outbox
from cornellead_agent.services._outbox import encode_batch
from cornellead_agent.services._stream_reader import StreamReader
from cornellead_core.platform import AppendError

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_agent.services._append_pacer import AppendPacer
    from cornellead_agent.services._stream_reader import ReadRecord
    from cornellead_core.claims import ClaimsRecord
    from cornellead_core.platform import LogClient

READ_BACK_WAIT_S = 0.2
"""Longest wait of a read for records that were appended but are not visible yet."""


class PartitionLog:
    """Outbox and reader of one partition.

    A claim counts only after it was read back, whatever the append returned. If the append's
    response is lost, its records stay in the outbox until they are read, and are appended again if
    they are not found.
    """

    def __init__(
        self, *, log: LogClient, stream: str, pacer: AppendPacer, validity_s: float
    ) -> None:
        self._log = log
        self._stream = stream
        self._pacer = pacer
        self._recorded_end = 0
        self.reader = StreamReader(log=log, stream=stream, validity_s=validity_s)
        self.outbox = Outbox()
        self.must_read = True
        """Whether the stream may hold unread records that affect this process."""
        self.last_error = ""
        """Message of the last log failure."""

    def reset(self) -> None:
        """Discard the ledger; the stream is read again when it is needed."""
        self.reader.reset()
        self.must_read = True

    async def send(self, make_batch: Callable[[], dict[str, ClaimsRecord]]) -> bool:
        """Append the next batch, after waiting for a slot of the pacer.

        :param make_batch: Returns the batch; called when the slot is due.
        :returns: Whether the log may have stored the batch, or there was nothing to append.
        """
        if not len(self.outbox):
            return True
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(self._pacer.reserve_slot(now=now) - now)
        batch = make_batch()
        if not batch:
            return True
        result = await self._log.append(self._stream, encode_batch(batch))
        if isinstance(result, Success):
            self._pacer.record_success()
            first = result.unwrap()
            self.outbox.mark_recorded(batch, first_offset=first)
            self._recorded_end = first + len(batch)
            self.must_read |= EPOCH_NAME in batch
            return True
        if result.failure() is AppendError.REJECTED:
            self._pacer.record_rejection(now=asyncio.get_running_loop().time())
            self.last_error = "the log refused an append"
            return False
        self.must_read = True
        return True

    async def catch_up(self, apply_page: Callable[[list[ReadRecord]], None]) -> bool:
        """Read to the end of the stream, at least past the last record known to be stored.

        :param apply_page: Called with the records of each page.
        :returns: Whether all reads succeeded.
        """
        self.must_read = True
        histories = self.reader.histories
        while True:
            result = await self.reader.read(wait_s=READ_BACK_WAIT_S if self.reader.at_end else 0.0)
            if not isinstance(result, Success):
                self.last_error = result.failure()
                if self.reader.histories != histories:
                    self._recorded_end = 0
                return False
            apply_page(result.unwrap())
            if self.reader.at_end and self.reader.next_offset >= self._recorded_end:
                break
        self.must_read = False
        return True

    def pop_dropped_claims(self) -> list[str]:
        """Remove and return the names of claims that the log dropped before they were read back."""
        names = self.outbox.unread_claims_before(self.reader.next_offset)
        for name in names:
            self.outbox.drop(name)
        return names
