"""Verdicts on claims, retention of keys, and readers that start at different offsets."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure

from cornellead_core.claims import CancelRecord
from cornellead_core.claims import ClaimRecord
from cornellead_core.claims import ClaimsRecord
from cornellead_core.claims import DoneRecord
from cornellead_core.claims import EpochRecord
from cornellead_core.claims import KeyState
from cornellead_core.claims import Ledger
from cornellead_core.claims import Verdict
from cornellead_core.claims import check_retention
from cornellead_core.claims import decode_record
from cornellead_core.claims import encode_record

KEY = b"k" * 16
VALIDITY_S = 100.0
KEY_RETENTION_MS = 105_000


def epoch(owner: str) -> EpochRecord:
    return EpochRecord(owner=owner, incarnation=1, token=owner)


def claim(
    call: str, *, epoch: int = 0, key: bytes = KEY, key_time_ms: int | None = None
) -> ClaimRecord:
    expires_ms = None if key_time_ms is None else key_time_ms + 100_000
    return ClaimRecord(
        epoch=epoch,
        key=key,
        request=b"r",
        call=call,
        key_time_ms=key_time_ms,
        expires_ms=expires_ms,
    )


def done(call: str, key: bytes = KEY) -> DoneRecord:
    return DoneRecord(key=key, request=b"r", call=call, status=200, body=b"ok")


def replay(*records: tuple[int, ClaimsRecord]) -> tuple[Ledger, list[Verdict | None]]:
    """Apply records, each given with its log time in milliseconds."""
    ledger = Ledger(validity_s=VALIDITY_S)
    verdicts = [
        ledger.apply(record, offset=offset, time_ms=time_ms)
        for offset, (time_ms, record) in enumerate(records)
    ]
    return ledger, verdicts


@pytest.mark.parametrize(
    ("records", "verdict", "state"),
    [
        ([(0, claim("c"))], Verdict.LIVE, KeyState.OPEN),
        ([(0, epoch("b")), (0, claim("c"))], Verdict.SUPERSEDED, KeyState.FREE),
        ([(0, claim("a")), (0, claim("c"))], Verdict.TAKEN, KeyState.OPEN),
        ([(0, claim("a")), (0, done("a")), (0, claim("c"))], Verdict.TAKEN, KeyState.DONE),
        ([(0, claim("c")), (0, claim("c"))], Verdict.DUPLICATE, KeyState.OPEN),
        ([(0, CancelRecord(key=KEY, call="c")), (0, claim("c"))], Verdict.CANCELLED, KeyState.FREE),
        (
            [(0, claim("a")), (0, CancelRecord(key=KEY, call="a")), (0, claim("c"))],
            Verdict.LIVE,
            KeyState.OPEN,
        ),
        ([(0, claim("a")), (KEY_RETENTION_MS, claim("c"))], Verdict.TAKEN, KeyState.OPEN),
        ([(0, claim("a")), (KEY_RETENTION_MS + 1, claim("c"))], Verdict.LIVE, KeyState.OPEN),
        ([(100_000, claim("c", key_time_ms=0))], Verdict.LIVE, KeyState.OPEN),
        ([(100_001, claim("c", key_time_ms=0))], Verdict.EXPIRED, KeyState.FREE),
        ([(0, claim("c", key_time_ms=5_000))], Verdict.LIVE, KeyState.OPEN),
        ([(0, claim("c", key_time_ms=5_001))], Verdict.KEY_TIME_AHEAD, KeyState.FREE),
    ],
)
def test_verdict(
    records: list[tuple[int, ClaimsRecord]], verdict: Verdict, state: KeyState
) -> None:
    """Guards against a wrong verdict on a claim, or a wrong key state after it."""
    ledger, verdicts = replay((0, epoch("a")), *records)
    assert verdicts[-1] is verdict
    assert ledger.lookup(KEY).state is state


def test_claim_without_a_known_epoch_is_undecided_and_blocks_the_key() -> None:
    """Guards against a reader that starts late and treats a void claim as live."""
    ledger, verdicts = replay((0, claim("c", epoch=7)))
    assert verdicts == [Verdict.UNDECIDED]
    assert ledger.lookup(KEY).state is KeyState.OPEN


def test_cancel_leaves_later_claims_open() -> None:
    """Guards against a late-starting reader that frees a key whose second claim was dispatched."""
    ledger, _ = replay(
        (0, claim("void", epoch=1)),
        (0, claim("live", epoch=2)),
        (0, CancelRecord(key=KEY, call="void")),
    )
    assert ledger.lookup(KEY).calls == ("live",)


def test_first_done_record_is_kept() -> None:
    """Guards against replaying a response that differs from the first one."""
    ledger, _ = replay((0, epoch("a")), (0, claim("c")), (0, done("c")), (0, done("c")))
    assert ledger.lookup(KEY).done_offset == 2


def test_expired_entries_are_evicted() -> None:
    """Guards against unbounded memory use of the ledger."""
    keys = [number.to_bytes(16, "big") for number in range(300)]
    records: list[tuple[int, ClaimsRecord]] = [(0, epoch("a"))]
    for number, key in enumerate(keys):
        records.append((number, claim(f"c{number}", key=key)))
        if number % 3 == 0:
            records.append((number, done(f"c{number}", key)))
        if number % 3 == 1:
            records.append((number, CancelRecord(key=key, call=f"c{number}")))
    ledger, _ = replay(*records)
    assert len(ledger) == 300
    ledger.advance_time(300 + KEY_RETENTION_MS)
    assert len(ledger) == 0


def test_records_round_trip() -> None:
    """Guards against fields that are lost when a record is encoded as JSON."""
    for record in (
        epoch("a"),
        claim("c", key_time_ms=3),
        done("c"),
        CancelRecord(key=KEY, call="c"),
    ):
        assert decode_record(encode_record(record)) == record
    assert decode_record({"kind": "future"}) is None


@pytest.mark.parametrize(("validity_s", "accepted"), [(90.0, True), (90.1, False)])
def test_retention(validity_s: float, accepted: bool) -> None:
    """Guards against a log retention too short for claims on keys that are still valid."""
    result = check_retention(validity_s=validity_s, retention_s=100.0)
    assert isinstance(result, Failure) is not accepted


class Step(NamedTuple):
    """One random action of a process that follows the claim protocol."""

    process: int
    kind: str
    key: int
    delay_ms: int
    skips_dispatch: bool


STEPS = st.lists(
    st.builds(
        Step,
        process=st.integers(0, 1),
        kind=st.sampled_from(("epoch", "claim", "claim", "settle", "settle")),
        key=st.just(0),
        delay_ms=st.sampled_from((0, 0, 1_000, 30_000)),
        skips_dispatch=st.booleans(),
    ),
    max_size=24,
)


class ProcessSimulation:
    """Log written by processes that follow the claim protocol."""

    def __init__(self) -> None:
        self.log: list[tuple[int, ClaimsRecord]] = []
        self.full_ledger = Ledger(validity_s=VALIDITY_S)
        self.dispatched_claims: dict[int, tuple[str, bytes]] = {}
        self.pending_calls: dict[int, list[tuple[str, bytes, bool]]] = {0: [], 1: [], 2: []}
        self.epoch_offsets = {0: -1, 1: -1, 2: -1}
        self.now_ms = 0

    def append_record(self, record: ClaimsRecord) -> Verdict | None:
        verdict = self.full_ledger.apply(record, offset=len(self.log), time_ms=self.now_ms)
        self.log.append((self.now_ms, record))
        return verdict

    def step(self, step: Step) -> None:
        self.now_ms += step.delay_ms
        key = bytes([step.key]) * 16
        if step.kind == "epoch":
            self.epoch_offsets[step.process] = len(self.log)
            self.append_record(epoch(f"p{step.process}"))
        elif step.kind == "claim" and self.epoch_offsets[step.process] >= 0:
            call = f"c{len(self.log)}"
            record = claim(call, epoch=self.epoch_offsets[step.process], key=key)
            is_live = self.append_record(record) is Verdict.LIVE
            if is_live and not step.skips_dispatch:
                self.dispatched_claims[len(self.log) - 1] = (call, key)
            self.pending_calls[step.process].append(
                (call, key, is_live and not step.skips_dispatch)
            )
        elif step.kind == "settle" and self.pending_calls[step.process]:
            call, key, was_dispatched = self.pending_calls[step.process].pop(0)
            self.append_record(
                done(call, key) if was_dispatched else CancelRecord(key=key, call=call)
            )


@settings(derandomize=True, max_examples=300, deadline=None)
@given(steps=STEPS)
def test_no_reader_frees_a_key_with_a_dispatched_claim(steps: list[Step]) -> None:
    """Guards against double effects caused by readers that start at different offsets."""
    simulation = ProcessSimulation()
    for step in steps:
        simulation.step(step)
    for start in range(len(simulation.log)):
        late_ledger = Ledger(validity_s=VALIDITY_S)
        for offset, (time_ms, record) in enumerate(simulation.log[start:], start=start):
            late_ledger.apply(record, offset=offset, time_ms=time_ms)
            for claim_offset, (_, key) in simulation.dispatched_claims.items():
                claimed_ms = simulation.log[claim_offset][0]
                if start <= claim_offset <= offset and time_ms <= claimed_ms + KEY_RETENTION_MS:
                    assert late_ledger.lookup(key).state is not KeyState.FREE
