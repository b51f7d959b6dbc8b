"""The ledger's rules, and that no reader frees a key of which a claim was dispatched."""

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
MEMORY_MS = 105_000


def epoch(owner: str) -> EpochRecord:
    return EpochRecord(owner=owner, incarnation=1, token=owner)


def claim(
    call: str, *, epoch: int = 0, key: bytes = KEY, made_ms: int | None = None
) -> ClaimRecord:
    expires_ms = None if made_ms is None else made_ms + 100_000
    return ClaimRecord(
        epoch=epoch, key=key, request=b"r", call=call, key_time_ms=made_ms, expires_ms=expires_ms
    )


def done(call: str, key: bytes = KEY) -> DoneRecord:
    return DoneRecord(key=key, request=b"r", call=call, status=200, body=b"ok")


def replay(*records: tuple[int, ClaimsRecord]) -> tuple[Ledger, list[Verdict | None]]:
    """Apply records given with their times in milliseconds."""
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
        ([(0, claim("a")), (MEMORY_MS, claim("c"))], Verdict.TAKEN, KeyState.OPEN),
        ([(0, claim("a")), (MEMORY_MS + 1, claim("c"))], Verdict.LIVE, KeyState.OPEN),
        ([(100_000, claim("c", made_ms=0))], Verdict.LIVE, KeyState.OPEN),
        ([(100_001, claim("c", made_ms=0))], Verdict.EXPIRED, KeyState.FREE),
        ([(0, claim("c", made_ms=5_000))], Verdict.LIVE, KeyState.OPEN),
        ([(0, claim("c", made_ms=5_001))], Verdict.KEY_TIME_AHEAD, KeyState.FREE),
    ],
)
def test_verdict(
    records: list[tuple[int, ClaimsRecord]], verdict: Verdict, state: KeyState
) -> None:
    """Guards against a claim that is judged differently from the rules of the design."""
    ledger, verdicts = replay((0, epoch("a")), *records)
    assert verdicts[-1] is verdict
    assert ledger.lookup(KEY).state is state


def test_claim_without_a_known_epoch_is_undecided_and_blocks() -> None:
    """Guards against a reader that starts late and takes a void claim for a live one."""
    ledger, verdicts = replay((0, claim("c", epoch=7)))
    assert verdicts == [Verdict.UNDECIDED]
    assert ledger.lookup(KEY).state is KeyState.OPEN


def test_cancel_leaves_later_claims_open() -> None:
    """Guards against a late reader that frees a key whose second claim was dispatched."""
    ledger, _ = replay(
        (0, claim("void", epoch=1)),
        (0, claim("live", epoch=2)),
        (0, CancelRecord(key=KEY, call="void")),
    )
    assert ledger.lookup(KEY).calls == ("live",)


def test_first_done_record_is_kept() -> None:
    """Guards against a replay that differs from the first answer."""
    ledger, _ = replay((0, epoch("a")), (0, claim("c")), (0, done("c")), (0, done("c")))
    assert ledger.lookup(KEY).done_offset == 2


def test_memory_is_released() -> None:
    """Guards against a ledger that grows without bound."""
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
    ledger.advance(300 + MEMORY_MS)
    assert len(ledger) == 0


def test_records_survive_the_log() -> None:
    """Guards against fields that JSON does not carry."""
    for record in (epoch("a"), claim("c", made_ms=3), done("c"), CancelRecord(key=KEY, call="c")):
        assert decode_record(encode_record(record)) == record
    assert decode_record({"kind": "future"}) is None


@pytest.mark.parametrize(("validity_s", "accepted"), [(90.0, True), (90.1, False)])
def test_retention(validity_s: float, accepted: bool) -> None:
    """Guards against a log that drops claims of keys that are still valid."""
    result = check_retention(validity_s=validity_s, retention_s=100.0)
    assert isinstance(result, Failure) is not accepted


class Step(NamedTuple):
    """One step of an honest process; how it acts on its claim is drawn, not what it may do."""

    process: int
    kind: str
    key: int
    wait_ms: int
    stale: bool


STEPS = st.lists(
    st.builds(
        Step,
        process=st.integers(0, 1),
        kind=st.sampled_from(("epoch", "claim", "claim", "settle", "settle")),
        key=st.just(0),
        wait_ms=st.sampled_from((0, 0, 1_000, 30_000)),
        stale=st.booleans(),
    ),
    max_size=24,
)


class Honest:
    """Writes the records of processes that follow the rules, each with its own view."""

    def __init__(self) -> None:
        self.log: list[tuple[int, ClaimsRecord]] = []
        self.exact = Ledger(validity_s=VALIDITY_S)
        self.dispatched: dict[int, tuple[str, bytes]] = {}
        self.pending: dict[int, list[tuple[str, bytes, bool]]] = {0: [], 1: [], 2: []}
        self.epochs = {0: -1, 1: -1, 2: -1}
        self.now_ms = 0

    def write(self, record: ClaimsRecord) -> Verdict | None:
        verdict = self.exact.apply(record, offset=len(self.log), time_ms=self.now_ms)
        self.log.append((self.now_ms, record))
        return verdict

    def step(self, step: Step) -> None:
        self.now_ms += step.wait_ms
        key = bytes([step.key]) * 16
        if step.kind == "epoch":
            self.epochs[step.process] = len(self.log)
            self.write(epoch(f"p{step.process}"))
        elif step.kind == "claim" and self.epochs[step.process] >= 0:
            call = f"c{len(self.log)}"
            record = claim(call, epoch=self.epochs[step.process], key=key)
            is_live = self.write(record) is Verdict.LIVE
            if is_live and not step.stale:
                self.dispatched[len(self.log) - 1] = (call, key)
            self.pending[step.process].append((call, key, is_live and not step.stale))
        elif step.kind == "settle" and self.pending[step.process]:
            call, key, ran = self.pending[step.process].pop(0)
            self.write(done(call, key) if ran else CancelRecord(key=key, call=call))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(steps=STEPS)
def test_no_reader_frees_a_key_of_which_a_claim_was_dispatched(steps: list[Step]) -> None:
    """Guards against double effects through readers that start at different offsets."""
    honest = Honest()
    for step in steps:
        honest.step(step)
    for start in range(len(honest.log)):
        late = Ledger(validity_s=VALIDITY_S)
        for offset, (time_ms, record) in enumerate(honest.log[start:], start=start):
            late.apply(record, offset=offset, time_ms=time_ms)
            for claimed_at, (_, key) in honest.dispatched.items():
                claimed_ms = honest.log[claimed_at][0]
                if start <= claimed_at <= offset and time_ms <= claimed_ms + MEMORY_MS:
                    assert late.lookup(key).state is not KeyState.FREE
