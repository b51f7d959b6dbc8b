"""Fencing token of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

if TYPE_CHECKING:
    from cornellead_core.platform import Log

READ_LIMIT = 1000


class Fence:
    """Token from the order of the stream ``fence.<server>``.

    The token is the offset of this agent's own record, so a later agent has a higher one. An agent
    that reads a later record has been replaced and holds no token any more.

    :param owner: Text that no other process uses, to find the own record.
    """

    def __init__(self, *, log: Log, server: str, owner: str) -> None:
        self._log = log
        self._stream = f"fence.{server}"
        self._owner = owner
        self._next = 0
        self._appended = False
        self._own = -1
        self._last = -1

    @property
    def replaced(self) -> bool:
        """Whether another agent took a later token."""
        return self._own >= 0 and self._last > self._own

    async def token(self) -> int | None:
        """Return the token, or ``None`` when it is not known to be the latest."""
        if not await self._read_to_end():
            return None
        if self._own < 0 and not self._appended:
            # Appended once only: a lost answer is looked for in the stream, not repeated.
            self._appended = True
            appended = await self._log.append(self._stream, [{"owner": self._owner}])
            if not isinstance(appended, Success) and appended.failure().value == "rejected":
                self._appended = False
            if not await self._read_to_end():
                return None
        return None if self._own < 0 or self.replaced else self._own

    async def _read_to_end(self) -> bool:
        while True:
            read = await self._log.read(self._stream, from_offset=self._next, limit=READ_LIMIT)
            if not isinstance(read, Success):
                return False
            page = read.unwrap()
            for record in page.records:
                self._last = record.offset
                if record.value.get("owner") == self._owner:
                    self._own = record.offset
            self._next = max(page.next_offset, page.oldest_offset)
            if self._next >= page.end_offset:
                return True
