"""What one request may still do."""

from __future__ import annotations

from enum import StrEnum


class RunState(StrEnum):
    """Whether a server may have run the request."""

    NOT_SENT = "not_sent"
    """No server has received it."""
    NOT_RUN = "not_run"
    """Servers received it and stated that they did not run it."""
    MAYBE_RUN = "maybe_run"
    """A server may have run it, or still may."""


class RequestRights:
    """Decides whether a request may be sent, and what a failure means to its caller.

    Load: servers that refuse, break off or fall silent. A request that may not be repeated is never
    sent again once a server may have run it; a refusal is only given when none can have run it.

    :param repeatable: Whether the request may run more than once.
    :param max_attempts: Servers that may run it.
    :param deadline: Seconds by the same clock as ``now``.

    >>> rights = RequestRights(repeatable=False, max_attempts=3, deadline=1.0)
    >>> rights.may_send(now=0.0)
    True
    >>> rights.count_send()
    >>> rights.may_send(now=0.0), rights.state.value
    (False, 'maybe_run')
    >>> rights.count_not_run()
    >>> rights.may_send(now=0.0), rights.refusable
    (True, True)
    """

    def __init__(self, *, repeatable: bool, max_attempts: int, deadline: float) -> None:
        self._repeatable = repeatable
        self._max_attempts = max_attempts
        self._runs = 0
        self.deadline = deadline
        self.sends = 0
        """Times the request was sent, refused ones included."""
        self.state = RunState.NOT_SENT
        self._state_before = RunState.NOT_SENT

    @property
    def refusable(self) -> bool:
        """Whether the caller may be told that the request did not run."""
        return self.state is not RunState.MAYBE_RUN

    def time_left_s(self, *, now: float) -> float:
        """Return the time until the deadline, at least 0."""
        return max(0.0, self.deadline - now)

    def may_send(self, *, now: float) -> bool:
        """Return whether the request may be sent to a server now."""
        if now >= self.deadline or self._runs >= self._max_attempts:
            return False
        return self._repeatable or self.state is not RunState.MAYBE_RUN

    def count_send(self) -> None:
        """Count that the request left for a server; it may run from now on."""
        self.sends += 1
        self._runs += 1
        self._state_before = self.state
        self.state = RunState.MAYBE_RUN

    def count_not_run(self) -> None:
        """Count that the server of the last send stated that it did not run the request."""
        self._runs -= 1
        if self._state_before is not RunState.MAYBE_RUN:
            self.state = RunState.NOT_RUN

    def count_unsent(self) -> None:
        """Count that the last send failed before a byte left."""
        self._runs -= 1
        self.sends -= 1
        self.state = self._state_before
