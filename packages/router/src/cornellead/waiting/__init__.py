"""Requests that wait for a server."""

from __future__ import annotations

from cornellead.waiting._wait_queue import Ticket
from cornellead.waiting._wait_queue import WaitQueue
from cornellead.waiting._waiter import Waiter
from cornellead.waiting._waiting_room import WaitingRoom

__all__ = ["Ticket", "WaitQueue", "Waiter", "WaitingRoom"]
