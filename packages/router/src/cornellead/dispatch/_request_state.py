"""State that the attempts of one request share."""

from __future__ import annotations


class RequestState:
    """Records whether a request may have run and how long it was queued."""

    def __init__(self) -> None:
        self.may_have_run = False
        """Whether an attempt that has ended may have run the request."""
        self.in_flight = False
        """Whether an attempt was sent that has neither been refused nor failed."""
        self.waited_s = 0.0
        """Total time in the wait queue, in seconds."""
