"""Tests of the permitted attempts after sends, rejections and failures in any order."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from cornellead.gateway.policy import RequestAttempts

DEADLINE = 100.0


class RequestStateMachine(RuleBasedStateMachine):
    """Guards against executing a non-repeatable request twice, and against reporting a request as
    not run that a server may have executed."""

    @initialize(repeatable=st.booleans(), max_attempts=st.integers(1, 3))
    def start(self, repeatable: bool, max_attempts: int) -> None:
        self.repeatable = repeatable
        self.max_attempts = max_attempts
        self.attempts = RequestAttempts(
            repeatable=repeatable, max_attempts=max_attempts, deadline=DEADLINE
        )
        self.possible_runs = 0
        self.pending = False
        self.now = 0.0

    @precondition(lambda self: not self.pending and self.attempts.may_send(now=self.now))
    @rule()
    def send(self) -> None:
        self.attempts.count_send()
        self.pending = True

    @precondition(lambda self: self.pending)
    @rule(outcome=st.sampled_from(["not_run", "broken", "unsent"]))
    def finish(self, outcome: str) -> None:
        self.pending = False
        if outcome == "not_run":
            self.attempts.count_not_run()
        elif outcome == "unsent":
            self.attempts.count_unsent()
        else:
            self.possible_runs += 1

    @rule(seconds=st.floats(0.0, 30.0))
    def advance_clock(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def possible_runs_are_bounded(self) -> None:
        possible = self.possible_runs + self.pending
        assert possible <= self.max_attempts
        assert self.repeatable or possible <= 1

    @invariant()
    def refusable_only_without_possible_run(self) -> None:
        assert self.attempts.not_run == (self.possible_runs + self.pending == 0)

    @invariant()
    def nothing_is_sent_after_the_deadline(self) -> None:
        assert self.now < DEADLINE or not self.attempts.may_send(now=self.now)


RequestStateMachine.TestCase.settings = RequestStateMachine.TestCase.settings.__class__(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestRequestStateMachine = RequestStateMachine.TestCase
