"""Permitted attempts of one request."""

from __future__ import annotations

from enum import StrEnum

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run and will not run later."""


class RunState(StrEnum):
    """Whether a server may have executed the request."""

    NOT_SENT = "not_sent"
    """The request was not sent to any server."""
    NOT_RUN = "not_run"
    """The request was sent, and every server reported that it did not execute it."""
    MAYBE_RUN = "maybe_run"
    """A server may have executed the request or may still be executing it."""


class RequestAttempts:
    """Decides whether a request may be sent, and whether a failure may be reported as "not run".

    Servers may reject a request, close the connection or stop responding. A request that is not
    repeatable is never resent after a server may have executed it, and it is reported to its caller
    as not run only if no server can have executed it.

    :param repeatable: Whether the request may be executed more than once.
    :param max_attempts: Maximum number of attempts in which a server may execute the request.
    :param deadline: Deadline in seconds, by the same clock as ``now``.

    >>> attempts = RequestAttempts(repeatable=False, max_attempts=3, deadline=1.0)
    >>> attempts.may_send(now=0.0)
    True
    >>> attempts.count_send()
    >>> attempts.may_send(now=0.0), attempts.state.value
    (False, 'maybe_run')
    >>> attempts.may_pass_on(503), attempts.may_pass_on(500)
    (False, True)
    >>> attempts.count_not_run()
    >>> attempts.may_send(now=0.0), attempts.not_run
    (True, True)
    """

    def __init__(self, *, repeatable: bool, max_attempts: int, deadline: float) -> None:
        self._repeatable = repeatable
        self._max_attempts = max_attempts
        self._possible_runs = 0
        self.deadline = deadline
        self.sends = 0
        """Number of sends, including those that were rejected."""

    @property
    def state(self) -> RunState:
        """Whether a server may have executed the request."""
        if self._possible_runs:
            return RunState.MAYBE_RUN
        return RunState.NOT_RUN if self.sends else RunState.NOT_SENT

    @property
    def not_run(self) -> bool:
        """Whether the request can be reported to the caller as not run."""
        return self.state is not RunState.MAYBE_RUN

    def may_pass_on(self, status: int) -> bool:
        """Return whether the status of a server's response is true for the caller.

        An application may fail with one of `NOT_RUN_STATUSES` after it has executed the request,
        which the caller would then repeat.
        """
        return self._repeatable or self.not_run or status not in NOT_RUN_STATUSES

    def time_left_s(self, *, now: float) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline - now)

    def may_send(self, *, now: float) -> bool:
        """Return whether the request may be sent to a server now."""
        if now >= self.deadline or self._possible_runs >= self._max_attempts:
            return False
        return self._repeatable or self.state is not RunState.MAYBE_RUN

    def count_send(self) -> None:
        """Count a send, after which the server may execute the request."""
        self.sends += 1
        self._possible_runs += 1

    def count_not_run(self) -> None:
        """Undo the attempt of a send, as its server reported that it did not run the request."""
        self._possible_runs -= 1

    def count_unsent(self) -> None:
        """Undo a send that failed before any byte was transmitted."""
        self._possible_runs -= 1
        self.sends -= 1
