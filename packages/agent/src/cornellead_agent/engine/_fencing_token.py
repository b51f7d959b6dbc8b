"""Fencing token, which distinguishes the current agent of a server from those it replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

if TYPE_CHECKING:
    from cornellead_core.platform import LogClient

PAGE_RECORDS = 1000


class FencingToken:
    """Fencing token from the stream ``fence.<server>`` of the log.

    Each agent process appends one record, whose offset is its token, so later processes have higher
    tokens. An agent that reads a record after its own has been replaced and loses its token.

    :param owner: Id of the process, by which it recognises its own record.
    """

    def __init__(self, *, log: LogClient, server: str, owner: str) -> None:
        self._log = log
        self._stream = f"fence.{server}"
        self._owner = owner
        self._next_offset = 0
        self._appended = False
        self._own_offset = -1
        self._latest_offset = -1

    @property
    def replaced(self) -> bool:
        """Whether another agent has a higher token."""
        return self._own_offset >= 0 and self._latest_offset > self._own_offset

    async def token(self) -> int | None:
        """Return the token, or ``None`` if it cannot be confirmed as the highest."""
        if not await self._read_to_end():
            return None
        if self._own_offset < 0 and not self._appended:
            # If the response is lost, the record is searched for in the stream, not appended again.
            self._appended = True
            appended = await self._log.append(self._stream, [{"owner": self._owner}])
            if not isinstance(appended, Success) and appended.failure().value == "rejected":
                self._appended = False
            if not await self._read_to_end():
                return None
        return None if self._own_offset < 0 or self.replaced else self._own_offset

    async def _read_to_end(self) -> bool:
        while True:
            read = await self._log.read(
                self._stream, from_offset=self._next_offset, limit=PAGE_RECORDS
            )
            if not isinstance(read, Success):
                return False
            page = read.unwrap()
            for record in page.records:
                self._latest_offset = record.offset
                if record.value.get("owner") == self._owner:
                    self._own_offset = record.offset
            self._next_offset = max(page.next_offset, page.oldest_offset)
            if self._next_offset >= page.end_offset:
                return True
