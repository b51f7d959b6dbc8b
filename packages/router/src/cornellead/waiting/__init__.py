"""Queues for requests that no server accepts at present."""

from __future__ import annotations

from cornellead.waiting._wait_queue import Ticket
from cornellead.waiting._wait_queue import WaitQueue
from cornellead.waiting._waiter import Waiter
from cornellead.waiting._waiting_room import WaitingRoom

__all__ = ["Ticket", "WaitQueue", "Waiter", "WaitingRoom"]
