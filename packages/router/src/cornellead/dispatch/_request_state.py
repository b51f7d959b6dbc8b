"""State that the attempts of one request share."""

from __future__ import annotations

MAX_UNANSWERED_FAILURES = 2
"""Failures before the first part of a response after which a request is not sent again: it may be
what crashes the servers."""


class RequestState:
    """Records whether a request may have run and how long it was queued."""

    def __init__(self) -> None:
        self.may_have_run = False
        """Whether an attempt that has ended may have run the request."""
        self.in_flight = False
        """Whether an attempt was sent that has neither been refused nor failed."""
        self.unanswered_failures = 0
        """Number of servers that may have run the request and failed before they answered."""
        self.waited_s = 0.0
        """Total time in the wait queue, in seconds."""

    @property
    def may_crash_servers(self) -> bool:
        """Whether too many servers failed on this request to send it to a further one."""
        return self.unanswered_failures >= MAX_UNANSWERED_FAILURES
