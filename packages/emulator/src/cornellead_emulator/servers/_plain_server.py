"""Server of a plain service with slots and a queue."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_emulator.servers._server_settings import PlainServerSettings
    from cornellead_emulator.simulation import EventQueue


class PlainServer:
    """Works on a few calls at once, in order of arrival.

    >>> from cornellead_emulator.servers import PlainServerSettings
    >>> from cornellead_emulator.simulation import EventQueue
    >>> queue = EventQueue()
    >>> server = PlainServer(settings=PlainServerSettings(slots=1, queue=1), queue=queue)
    >>> [server.submit(0.1, lambda: print("done at", queue.now)) for _ in range(3)]
    [True, True, False]
    >>> queue.run(until=1.0)
    done at 0.1
    done at 0.2
    """

    def __init__(self, *, settings: PlainServerSettings, queue: EventQueue) -> None:
        self._settings = settings
        self._queue = queue
        self._waiting: deque[tuple[float, Callable[[], None]]] = deque()
        self.running = 0

    @property
    def waiting(self) -> int:
        """Calls that wait for a slot."""
        return len(self._waiting)

    def submit(self, work_s: float, on_end: Callable[[], None]) -> bool:
        """Take a call unless the queue is full.

        :param work_s: Time that it takes.
        """
        if self.running < self._settings.slots:
            self._start(work_s, on_end)
            return True
        if len(self._waiting) >= self._settings.queue:
            return False
        self._waiting.append((work_s, on_end))
        return True

    def _start(self, work_s: float, on_end: Callable[[], None]) -> None:
        self.running += 1
        self._queue.after(work_s, lambda: self._finish(on_end))

    def _finish(self, on_end: Callable[[], None]) -> None:
        self.running -= 1
        on_end()
        if self._waiting:
            self._start(*self._waiting.popleft())
