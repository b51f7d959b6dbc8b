"""At-most-once execution of the calls of one partition."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead_agent.services import _error_responses
from cornellead_agent.services._call import Call
from cornellead_agent.services._call import Phase
from cornellead_agent.services._call_executor import CallExecutor
from cornellead_agent.services._ownership import Ownership
from cornellead_agent.services._partition_log import PartitionLog
from cornellead_core.claims import CancelRecord
from cornellead_core.claims import ClaimRecord
from cornellead_core.claims import EpochRecord
from cornellead_core.claims import KeyState
from cornellead_core.claims import Verdict
from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from cornellead_agent.services._append_pacer import AppendPacer
    from cornellead_agent.services._identity import AgentIdentity
    from cornellead_agent.services._server_client import ServerClient
    from cornellead_agent.services._service_response import ServiceResponse
    from cornellead_agent.services._service_stats import ServiceStats
    from cornellead_agent.services._stream_reader import ReadRecord
    from cornellead_core.claims import ClaimsRecord
    from cornellead_core.claims import KeyView
    from cornellead_core.platform import LogClient

LOG_FAILURE_TIMEOUT_S = 3.0
"""Duration of a log failure after which calls are refused; one append times out after 2 s."""
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
FOREIGN_CLAIM_TIMEOUT_S = 1.0
"""Longest wait for the response to a key that another process claimed."""


class Partition:
    """Controller that claims, dispatches and records the calls of one partition.

    A single loop appends and reads, so at most one append is in flight and calls that arrive during
    it share the next. A call is dispatched only after its own claim was read back as live.
    """

    def __init__(
        self,
        *,
        number: int,
        stream: str,
        identity: AgentIdentity,
        log: LogClient,
        pacer: AppendPacer,
        server: ServerClient,
        stats: ServiceStats,
        validity_s: float,
    ) -> None:
        self.name = f"claims-{number}"
        self._identity = identity
        self._stats = stats
        self._logger = structlog.get_logger().bind(stream=stream)
        self._log = PartitionLog(log=log, stream=stream, pacer=pacer, validity_s=validity_s)
        self._reader = self._log.reader
        self._outbox = self._log.outbox
        self._queue: list[Call] = []
        self._active: dict[bytes, Call] = {}
        self._work_event = asyncio.Event()
        self._log_failing_since: float | None = None
        self._ownership = Ownership(
            identity=identity,
            outbox=self._outbox,
            stats=stats,
            logger=self._logger,
            validity_s=validity_s,
        )
        self._executor = CallExecutor(
            server=server,
            reader=self._reader,
            outbox=self._outbox,
            stats=stats,
            active=self._active,
            cancel=self._cancel,
            work_event=self._work_event,
        )

    @property
    def entries(self) -> int:
        """Number of entries in the ledger."""
        return len(self._reader.ledger)

    @property
    def idle(self) -> bool:
        """Whether no call is queued or in progress and all records are on the log."""
        return self._executor.idle and not (self._queue or self._active or len(self._outbox))

    async def execute(self, call: Call) -> ServiceResponse:
        """Run a call and return its response, at the latest at its deadline.

        This coroutine is cancelled when the caller disconnects. The call is then withdrawn if it
        was not dispatched yet; otherwise it is completed and recorded.
        """
        self._queue.append(call)
        self._work_event.set()
        try:
            await asyncio.wait({call.fut}, timeout=max(0.0, call.deadline - _now()))
        except asyncio.CancelledError:
            self._withdraw(call)
            raise
        if not call.fut.done():
            self._expire(call)
        return call.fut.result()

    async def run(self) -> None:
        """Process calls until cancelled, with exponential backoff while the log fails."""
        backoff_s = MIN_BACKOFF_S
        while True:
            if not self._has_work():
                await self._wait_for_work()
            self._work_event.clear()
            if await self._run_cycle():
                self._log_failing_since, backoff_s = None, MIN_BACKOFF_S
                continue
            self._handle_log_failure()
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _wait_for_work(self) -> None:
        """Wait until a call arrives, and renew the epoch while the partition is owned.

        An idle owner reads at each renewal, to expire old keys and detect a new owner. The renewal
        leaves a record older than any valid key for later readers. A ledger without ownership is
        discarded and read again when it is needed.
        """
        if not self._ownership.held and not self._active:
            self._log.reset()
            await self._work_event.wait()
            return
        try:
            await asyncio.wait_for(self._work_event.wait(), self._ownership.renewal_s)
        except TimeoutError:
            if await self._catch_up() and self._ownership.held:
                self._ownership.request_epoch()

    def _has_work(self) -> bool:
        return bool(
            len(self._outbox)
            or self._outbox.awaiting_read
            or any(self._needs_log(call) for call in self._queue)
        )

    def _needs_log(self, call: Call) -> bool:
        return call.phase is Phase.QUEUED or call.key not in self._active

    async def _run_cycle(self) -> bool:
        """Process the queue, append a batch, read it back; return whether the log succeeded."""
        if self._log.must_read and not await self._catch_up():
            return False
        self._process_queue()
        if not await self._send():
            return False
        polls_foreign_claim = any(
            call.phase is Phase.BLOCKED and call.key not in self._active for call in self._queue
        )
        if (
            self._log.must_read or self._outbox.awaiting_read or polls_foreign_claim
        ) and not await self._catch_up():
            return False
        self._process_queue()
        return True

    def _handle_log_failure(self) -> None:
        now = _now()
        if self._log_failing_since is None:
            self._log_failing_since = now
        if now - self._log_failing_since < LOG_FAILURE_TIMEOUT_S:
            return
        for call in [*self._queue, *self._active.values()]:
            self._refuse(call, RefusalReason.LOG_UNAVAILABLE)

    # Log access

    async def _send(self) -> bool:
        return await self._log.send(self._next_batch)

    def _next_batch(self) -> dict[str, ClaimsRecord]:
        self._process_queue()
        batch = self._outbox.next_batch()
        for record in batch.values():
            if isinstance(record, ClaimRecord):
                self._active[record.key].claim_sent = True
        return batch

    async def _catch_up(self) -> bool:
        histories = self._reader.histories
        caught_up = await self._log.catch_up(self._apply_page)
        if self._reader.histories != histories:
            self._handle_history_loss()
        if not caught_up:
            return False
        for name in self._log.pop_dropped_claims():
            for call in [call for call in self._active.values() if call.call_id == name]:
                self._refuse(call, RefusalReason.LOG_UNAVAILABLE)
        return True

    def _apply_page(self, page: list[ReadRecord]) -> None:
        for read in page:
            self._apply_record(read)
        if self._reader.ledger.epoch is None and self._ownership.held:
            self._ownership.supersede("")
            self._requeue_unsent_claims()

    def _apply_record(self, read: ReadRecord) -> None:
        match read.record:
            case EpochRecord():
                if self._ownership.apply_epoch(read.record, read.offset):
                    self._requeue_unsent_claims()
            case ClaimRecord():
                call = self._active.get(read.record.key)
                if call is not None and call.call_id == read.record.call:
                    self._apply_verdict(call, read.verdict)
            case _:
                pass

    def _requeue_unsent_claims(self) -> None:
        for call in list(self._active.values()):
            if call.phase is Phase.CLAIMING and not call.claim_sent:
                self._requeue(call)

    def _handle_history_loss(self) -> None:
        """Claim anew what was not dispatched, because its claim and the epoch may be lost."""
        self._logger.warning("log_history_lost", era=self._reader.era)
        self._ownership.forget()
        for call in list(self._active.values()):
            if call.phase is Phase.CLAIMING:
                self._requeue(call)

    # Decisions on queued and claiming calls

    def _process_queue(self) -> None:
        """Claim, replay, refuse or block each queued call, depending on the state of its key.

        Only a claim requires ownership: a recorded response is the same for every reader.
        """
        if self._reader.next_offset < 0:
            return
        for call in list(self._queue):
            active = self._active.get(call.key)
            if active is not None:
                self._block(call, active.request_digest)
                continue
            view = self._reader.ledger.lookup(call.key)
            match view.state:
                case KeyState.FREE:
                    self._handle_free_key(call)
                case KeyState.OPEN:
                    self._handle_open_key(call, view)
                case KeyState.DONE:
                    self._handle_done_key(call, view)

    def _handle_free_key(self, call: Call) -> None:
        call.phase = Phase.QUEUED
        if call.expires_ms is not None and self._reader.ledger.time_ms > call.expires_ms:
            self._refuse(call, RefusalReason.KEY_EXPIRED)
        elif self._reader.ledger.may_lack_claim(call.key_time_ms):
            self._queue.remove(call)
            self._close_unresolved(call)
        elif self._ownership.held:
            self._claim(call)
        elif self._ownership.may_acquire:
            self._ownership.request_epoch()
        else:
            self._refuse(call, RefusalReason.NOT_OWNER)

    def _claim(self, call: Call) -> None:
        self._queue.remove(call)
        call.phase = Phase.CLAIMING
        call.claim_sent = False
        call.call_id = self._identity.next_call_id()
        self._active[call.key] = call
        self._stats.claims += 1
        record = ClaimRecord(
            epoch=self._ownership.epoch,
            key=call.key,
            request=call.request_digest,
            call=call.call_id,
            key_time_ms=call.key_time_ms,
            expires_ms=call.expires_ms,
        )
        self._outbox.put(call.call_id, record)

    def _block(self, call: Call, request_digest: bytes) -> None:
        if call.request_digest != request_digest:
            self._refuse(call, RefusalReason.KEY_CONFLICT)
            return
        call.phase = Phase.BLOCKED

    def _handle_open_key(self, call: Call, view: KeyView) -> None:
        self._block(call, view.request)
        if call.phase is Phase.BLOCKED and _now() - call.arrived_at >= FOREIGN_CLAIM_TIMEOUT_S:
            self._queue.remove(call)
            self._close_unresolved(call)

    def _close_unresolved(self, call: Call) -> None:
        self._stats.unresolved += 1
        call.close(_error_responses.unresolved())

    def _handle_done_key(self, call: Call, view: KeyView) -> None:
        if call.request_digest != view.request:
            self._refuse(call, RefusalReason.KEY_CONFLICT)
            return
        self._queue.remove(call)
        self._executor.replay(call, view.done_offset)

    def _apply_verdict(self, call: Call, verdict: Verdict | None) -> None:
        """Dispatch, refuse or requeue a claiming call, depending on the verdict on its claim."""
        if call.phase is not Phase.CLAIMING:
            return
        self._outbox.drop(call.call_id)
        match verdict:
            case Verdict.LIVE:
                if _now() < call.deadline:
                    self._executor.dispatch(call)
                else:
                    self._refuse(call, RefusalReason.DEADLINE)
            case Verdict.EXPIRED:
                self._refuse(call, RefusalReason.KEY_EXPIRED)
            case Verdict.KEY_TIME_AHEAD:
                self._cancel(call)
                call.close(_error_responses.key_time_ahead())
            case _:
                self._stats.claims_void += 1
                self._requeue(call)

    def _requeue(self, call: Call) -> None:
        self._cancel(call)
        call.phase = Phase.QUEUED
        call.claim_sent = False
        self._queue.append(call)

    def _cancel(self, call: Call) -> None:
        """Release the claim of a call that did not reach the server."""
        self._active.pop(call.key, None)
        self._outbox.drop(call.call_id)
        if call.claim_sent:
            self._stats.claims_cancelled += 1
            record = CancelRecord(key=call.key, call=call.call_id)
            self._outbox.put(f"cancel {call.call_id}", record)
        self._work_event.set()

    def _withdraw(self, call: Call) -> None:
        """Close a call that was not dispatched, so that it can no longer be dispatched."""
        if call.phase is Phase.CLAIMING:
            self._cancel(call)
        elif call in self._queue:
            self._queue.remove(call)
        elif call.phase is not Phase.REPLAYING:
            return
        call.phase = Phase.CLOSED

    def _refuse(self, call: Call, reason: RefusalReason) -> None:
        if call.phase in (Phase.DISPATCHED, Phase.REPLAYING, Phase.CLOSED):
            return
        blocked = call.phase is Phase.BLOCKED
        self._withdraw(call)
        if blocked and reason is not RefusalReason.KEY_CONFLICT:
            # Another call with this key may have run, so the outcome must not be `not_run`.
            call.respond(_error_responses.unresolved())
            return
        hint = self._ownership.new_owner if reason is RefusalReason.NOT_OWNER else ""
        detail = self._log.last_error if reason is RefusalReason.LOG_UNAVAILABLE else ""
        call.respond(_error_responses.refuse_call(reason, hint=hint, detail=detail))

    def _expire(self, call: Call) -> None:
        """Respond to a call whose deadline passed."""
        if call.phase is Phase.DISPATCHED:
            call.respond(_error_responses.deadline_exceeded())
        elif call.phase is Phase.REPLAYING:
            self._withdraw(call)
            call.respond(_error_responses.replay_unavailable())
        elif self._log_failing_since is not None:
            self._refuse(call, RefusalReason.LOG_UNAVAILABLE)
        else:
            self._refuse(call, RefusalReason.DEADLINE)


def _now() -> float:
    return asyncio.get_running_loop().time()
