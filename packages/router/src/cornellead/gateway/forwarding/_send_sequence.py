"""Order of the steps from the admission of a request to its last attempt."""

from __future__ import annotations

from enum import StrEnum

from cornellead.gateway.forwarding._outcome import AttemptOutcome
from cornellead.gateway.forwarding._outcome import DeliveredResponse
from cornellead.gateway.forwarding._outcome import ErrorResponse
from cornellead.gateway.forwarding._search_timing import MAX_CONNECT_FAILURES


class SendStep(StrEnum):
    """What a request needs next."""

    CHECK = "check"
    """Find out whether it may be sent, or sent again."""
    CHOOSE = "choose"
    """Choose a server."""
    CONNECT = "connect"
    """Send it to the server that was chosen."""
    RELAY = "relay"
    """Relay the response of the attempt in flight."""
    DONE = "done"
    """Give the final answer, unless `SendSequence.delivered` is set."""


class SendSequence:
    """State machine of one request that tries servers in turn.

    ``CHECK`` leads to ``CHOOSE``, ``CONNECT`` and ``RELAY``; each of them may lead back to
    ``CHECK``, and each but ``CONNECT`` after a first failure may end the sequence. It does no I/O.

    >>> sequence = SendSequence()
    >>> sequence.allow_send()
    >>> sequence.record_chosen()
    >>> sequence.record_sent()
    >>> sequence.record_outcome(DeliveredResponse(200), has_successor=False)
    >>> sequence.step.value, sequence.delivered.status
    ('done', 200)
    """

    def __init__(self) -> None:
        self.step = SendStep.CHECK
        self.delivered: DeliveredResponse | None = None
        """The response that reached the caller, if any."""
        self.fallback: ErrorResponse | None = None
        """Latest complete response, for the caller if no attempt yields a better one."""
        self.wait_s: float | None = None
        """Expected wait for a place that ended the sequence, in seconds."""
        self._connect_failures = 0
        self._retry_paid = False

    def needs_retry(self, *, sends: int) -> bool:
        """Return whether the next send costs a retry that has not been paid.

        :param sends: Number of sends so far.
        """
        return sends > 0 and not self._retry_paid

    def record_retry_paid(self) -> None:
        """Record a retry, which covers further servers until one accepts a connection."""
        self._retry_paid = True

    def allow_send(self) -> None:
        """Record that the request may be sent."""
        self._move(SendStep.CHECK, to=SendStep.CHOOSE)

    def record_chosen(self) -> None:
        """Record that a server was chosen."""
        self._move(SendStep.CHOOSE, to=SendStep.CONNECT)

    def record_waited(self) -> None:
        """Record a wait after which everything is checked anew."""
        if self.step not in (SendStep.CHECK, SendStep.CHOOSE):
            raise ValueError(f"wait in step {self.step}")
        self.step = SendStep.CHECK

    def record_unreachable(self) -> None:
        """Record that the server accepted no connection, so that nothing was sent."""
        self._connect_failures += 1
        ended = self._connect_failures >= MAX_CONNECT_FAILURES
        self._move(SendStep.CONNECT, to=SendStep.DONE if ended else SendStep.CHECK)

    def record_sent(self) -> None:
        """Record that the request was sent."""
        self._retry_paid = False
        self._move(SendStep.CONNECT, to=SendStep.RELAY)

    def record_outcome(self, outcome: AttemptOutcome, *, has_successor: bool) -> None:
        """Record how an attempt ended.

        :param has_successor: Whether another attempt has taken its place.
        """
        if isinstance(outcome, DeliveredResponse):
            self._move(SendStep.RELAY, to=SendStep.DONE)
            self.delivered = outcome
            return
        if isinstance(outcome, ErrorResponse):
            self.fallback = outcome
        self._move(SendStep.RELAY, to=SendStep.RELAY if has_successor else SendStep.CHECK)

    def stop(self, *, wait_s: float | None = None) -> None:
        """End the sequence: the request may not be sent, or its time is over.

        :param wait_s: Expected wait for a place, in seconds, if that is the reason.
        """
        self.step = SendStep.DONE
        self.wait_s = wait_s

    def _move(self, step: SendStep, *, to: SendStep) -> None:
        if self.step is not step:
            raise ValueError(f"step is {self.step}, not {step}")
        self.step = to
