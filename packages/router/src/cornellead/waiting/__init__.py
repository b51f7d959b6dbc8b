"""Queues for requests that no server accepts at present."""

from __future__ import annotations

from cornellead.waiting._attempt_scheduler import AttemptScheduler
from cornellead.waiting._wait_queue import Ticket
from cornellead.waiting._wait_queue import WaitQueue
from cornellead.waiting._wait_queues import WaitQueues

__all__ = ["AttemptScheduler", "Ticket", "WaitQueue", "WaitQueues"]
