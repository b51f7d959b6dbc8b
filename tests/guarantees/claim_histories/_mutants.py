"""Mutants that each disable one safety mechanism, to verify that the histories detect its loss."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cornellead_agent.services import _error_responses
from cornellead_agent.services._call import Call
from cornellead_agent.services._call import Phase
from cornellead_agent.services._call_executor import CallExecutor
from cornellead_agent.services._partition import Partition
from cornellead_agent.services._server_client import SendError
from cornellead_agent.services._stream_reader import StreamReader
from cornellead_core.claims import EpochRecord
from cornellead_core.claims import KeyState
from cornellead_core.claims import KeyView
from cornellead_core.claims import Ledger
from cornellead_core.claims import Verdict
from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

    Patch = pytest.MonkeyPatch


def _replace_verdict(patch: Patch, from_verdict: Verdict) -> None:
    original = Partition._apply_verdict

    def mutant(self: Any, call: Any, verdict: Any) -> None:
        original(self, call, Verdict.LIVE if verdict is from_verdict else verdict)

    patch.setattr(Partition, "_apply_verdict", mutant)


def dispatch_before_verdict(patch: Patch) -> None:
    """Dispatches a call once its claim is appended, before the verdict on the claim is read."""
    send = Partition._send

    async def mutant(self: Any) -> bool:
        maybe_stored = await send(self)
        for call in list(self._active.values()):
            if call.phase is Phase.CLAIMING and self._outbox.awaiting_read:
                self._outbox.drop(call.call_id)
                self._executor.dispatch(call)
        return maybe_stored

    patch.setattr(Partition, "_send", mutant)


def ignore_later_epoch(patch: Patch) -> None:
    """Dispatches a claim that was recorded after another agent's epoch."""
    _replace_verdict(patch, Verdict.SUPERSEDED)


def ignore_earlier_claim(patch: Patch) -> None:
    """Claims a key that has an open claim, and dispatches the call."""
    _replace_verdict(patch, Verdict.TAKEN)
    patch.setattr(Partition, "_handle_open_key", lambda self, call, view: self._claim(call))


def ignore_expiry(patch: Patch) -> None:
    """Accepts expired keys, both before the claim is appended and when it is recorded."""
    init = Call.__init__

    def mutant(self: Any, **fields: Any) -> None:
        init(self, **fields | {"expires_ms": None})

    patch.setattr(Call, "__init__", mutant)


def assume_unknown_append_failed(patch: Patch) -> None:
    """Responds ``not_run`` after a lost append response, without cancelling the claim."""
    send = Partition._send

    async def mutant(self: Any) -> bool:
        must_read = self._log.must_read
        maybe_stored = await send(self)
        if (
            maybe_stored
            and self._log.must_read
            and not must_read
            and not self._outbox.awaiting_read
        ):
            for call in self._active.values():
                if call.phase is Phase.CLAIMING and call.claim_sent:
                    call.respond(_error_responses.refuse_call(RefusalReason.LOG_UNAVAILABLE))
        return maybe_stored

    patch.setattr(Partition, "_send", mutant)


def skip_cancel_at_deadline(patch: Patch) -> None:
    """Responds ``not_run`` at the deadline without cancelling the claim."""
    expire = Partition._expire

    def mutant(self: Any, call: Any) -> None:
        phase = call.phase
        expire(self, call)
        if phase is Phase.CLAIMING:
            call.phase, call.deadline = phase, call.deadline + 60.0
            self._active[call.key] = call

    patch.setattr(Partition, "_expire", mutant)


def refuse_after_dispatch(patch: Patch) -> None:
    """Responds ``not_run`` at the deadline of a dispatched call."""
    expire = Partition._expire

    def mutant(self: Any, call: Any) -> None:
        if call.phase is Phase.DISPATCHED:
            call.respond(_error_responses.refuse_call(RefusalReason.DEADLINE))
        else:
            expire(self, call)

    patch.setattr(Partition, "_expire", mutant)


def cancel_after_lost_response(patch: Patch) -> None:
    """Treats a connection that broke after sending like a failed connection attempt."""
    original = CallExecutor._handle_send_error

    def mutant(self: Any, call: Any, error: SendError) -> None:
        original(self, call, SendError.NOT_SENT)

    patch.setattr(CallExecutor, "_handle_send_error", mutant)


def discard_open_claims_at_epoch(patch: Patch) -> None:
    """Assumes that open claims of the previous owner were not dispatched."""
    apply = Ledger.apply

    def mutant(self: Any, record: Any, **position: int) -> Verdict | None:
        if isinstance(record, EpochRecord):
            self._open_claims.clear()
        return apply(self, record, **position)

    patch.setattr(Ledger, "apply", mutant)


def discard_done_keys(patch: Patch) -> None:
    """Reports a key as free when its call is done."""
    lookup = Ledger.lookup

    def mutant(self: Any, key: bytes) -> KeyView:
        view = lookup(self, key)
        return KeyView(KeyState.FREE) if view.state is KeyState.DONE else view

    patch.setattr(Ledger, "lookup", mutant)


def evict_keys_early(patch: Patch) -> None:
    """Evicts keys after half of their retention."""
    patch.setattr(
        Ledger,
        "_is_retained",
        lambda self, time: self._time_ms <= time + self._key_retention_ms // 2,
    )


def evict_without_clock_allowance(patch: Patch) -> None:
    """Evicts keys after their validity, without the allowance for callers' clocks ahead."""
    patch.setattr(
        Ledger,
        "_is_retained",
        lambda self, time: self._time_ms
        <= time + self._key_retention_ms - self._clock_allowance_ms,
    )


def keep_epoch_after_gap(patch: Patch) -> None:
    """Keeps acting as owner after the log dropped unread records."""
    patch.setattr(Ledger, "mark_gap", lambda self: None)


def ignore_early_drops(patch: Patch) -> None:
    """Assumes that all dropped records were expired."""
    patch.setattr(StreamReader, "_may_lack_claims", lambda self, page: False)


def forget_lost_claims(patch: Patch) -> None:
    """Takes a key for free although its claim may be lost with the log's history."""
    patch.setattr(Ledger, "may_lack_claim", lambda self, key_time_ms: False)


def read_on_in_other_history(patch: Patch) -> None:
    """Reads on at an offset of a lost history."""
    patch.setattr(StreamReader, "_came_back", lambda self, page: False)


MUTANTS: list[Callable[[Patch], None]] = [
    dispatch_before_verdict,
    ignore_later_epoch,
    ignore_earlier_claim,
    ignore_expiry,
    assume_unknown_append_failed,
    skip_cancel_at_deadline,
    refuse_after_dispatch,
    cancel_after_lost_response,
    discard_open_claims_at_epoch,
    discard_done_keys,
    evict_keys_early,
]
