"""Appends to and reads from the stream of one partition."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead_agent.services._outbox import EPOCH
from cornellead_agent.services._outbox import Outbox
from cornellead_agent.services._outbox import encode_batch
from cornellead_agent.services._stream_reader import StreamReader
from cornellead_core.platform import AppendError

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_agent.services._append_pacer import AppendPacer
    from cornellead_agent.services._stream_reader import ReadRecord
    from cornellead_core.claims import ClaimsRecord
    from cornellead_core.platform import Log

READ_WAIT_S = 0.2
"""Wait for a record that was appended and is not visible yet."""


class PartitionLog:
    """Outbox and reader of one partition.

    The answer to an append is never taken for the record: a lost one leaves the records in the
    outbox until they are read, and they are appended again if they are not found.
    """

    def __init__(self, *, log: Log, stream: str, pacer: AppendPacer, validity_s: float) -> None:
        self._log = log
        self._stream = stream
        self._pacer = pacer
        self._recorded_below = 0
        self.reader = StreamReader(log=log, stream=stream, validity_s=validity_s)
        self.outbox = Outbox()
        self.must_read = True
        """Whether the stream may hold records that decide about this process."""
        self.error = ""
        """Last failure of the log."""

    def reset(self) -> None:
        """Forget what was read; the stream is read again when it is needed."""
        self.reader.reset()
        self.must_read = True

    async def send(self, prepare: Callable[[], dict[str, ClaimsRecord]]) -> bool:
        """Append the next batch.

        :param prepare: Returns the batch when the turn of this partition has come.
        :returns: Whether the log may have stored it.
        """
        if not len(self.outbox):
            return True
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(self._pacer.take_slot(now=now) - now)
        batch = prepare()
        if not batch:
            return True
        result = await self._log.append(self._stream, encode_batch(batch))
        if isinstance(result, Success):
            self._pacer.note_accepted()
            first = result.unwrap()
            self.outbox.mark_recorded(batch, first_offset=first)
            self._recorded_below = first + len(batch)
            self.must_read |= EPOCH in batch
            return True
        if result.failure() is AppendError.REJECTED:
            self._pacer.note_refused(now=asyncio.get_running_loop().time())
            self.error = "the log refused an append"
            return False
        self.must_read = True
        return True

    async def catch_up(self, follow: Callable[[list[ReadRecord]], None]) -> bool:
        """Read to the end of the stream, at least past what is known to be recorded.

        :param follow: Takes the records of each page.
        :returns: Whether the log answered.
        """
        self.must_read = True
        while True:
            result = await self.reader.read(wait_s=READ_WAIT_S if self.reader.at_end else 0.0)
            if not isinstance(result, Success):
                self.error = result.failure()
                return False
            follow(result.unwrap())
            if self.reader.at_end and self.reader.next_offset >= self._recorded_below:
                break
        self.must_read = False
        return True

    def take_dropped(self) -> list[str]:
        """Remove and return recorded claims that the log dropped before they were read back."""
        names = self.outbox.missing_before(self.reader.next_offset)
        for name in names:
            self.outbox.drop(name)
        return names
