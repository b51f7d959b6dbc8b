"""Deterministic decision on each record of the ``config`` stream."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from returns.result import Success

from cornellead_core.config._config_state import ConfigObject
from cornellead_core.config._config_state import ConfigState
from cornellead_core.config._config_state import Verdict
from cornellead_core.config._records import CHANGE
from cornellead_core.config._records import SNAPSHOT
from cornellead_core.config._records import AuditRecord
from cornellead_core.config._records import parse_change
from cornellead_core.config._validation import find_problems

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornellead_core.config._records import ChangeRecord
    from cornellead_core.platform import LogRecord

RECENT_CHANGES = 1000
"""Changes whose ids are remembered; a lost append answer is retried within minutes, and at 4,100
changes a day this covers almost six hours."""
MAX_REASON_CHARS = 300


class Rejection(NamedTuple):
    """Why a change does not apply."""

    reason: str
    winner: int = -1


def reduce_record(state: ConfigState, record: LogRecord) -> tuple[ConfigState, AuditRecord | None]:
    """Apply the next record of the stream.

    :param record: Record at the offset after the state's; any other is ignored.
    :returns: The new state, and the audit record of a change (none for a snapshot).
    """
    if record.offset != state.offset + 1:
        return state, None
    state = state._replace(offset=record.offset)
    kind = record.value.get("kind")
    if kind == SNAPSHOT:
        return state, None
    if kind != CHANGE:
        return state, _malformed(record, "malformed kind: use change or snapshot")
    parsed = parse_change(record.value, offset=record.offset)
    if not isinstance(parsed, Success):
        return state, _malformed(record, parsed.failure())
    change = parsed.unwrap()
    rejection = _find_rejection(state, change)
    audit = _audit(state.objects, record, change, rejection)
    if state.find_verdict(change.change_id) is None:
        verdict = Verdict(record.offset, change.change_id, audit.reason)
        state = state._replace(recent=(state.recent + (verdict,))[-RECENT_CHANGES:])
    if rejection is None:
        state = state._replace(objects=apply_change(state.objects, change, record.offset))
    return state, audit


def apply_change(
    objects: Mapping[str, ConfigObject], change: ChangeRecord, version: int
) -> dict[str, ConfigObject]:
    """Return the objects after an accepted change."""
    changed = {
        name: ConfigObject(version, change.author, value) for name, value in change.objects.items()
    }
    return {**objects, **changed}


def _find_rejection(state: ConfigState, change: ChangeRecord) -> Rejection | None:
    earlier = state.find_verdict(change.change_id)
    if earlier is not None:
        return Rejection(f"duplicate of the change at offset {earlier.offset}", earlier.offset)
    for name in sorted(change.objects):
        known = state.objects.get(name)
        if known is not None and known.version > change.base:
            reason = (
                f"{name} was changed by {known.author} at version {known.version}, "
                f"after the base {change.base}"
            )
            return Rejection(reason, known.version)
    problems = find_problems(state.objects, change.objects)
    return Rejection(problems[0][:MAX_REASON_CHARS]) if problems else None


def _audit(
    objects: Mapping[str, ConfigObject],
    record: LogRecord,
    change: ChangeRecord,
    rejection: Rejection | None,
) -> AuditRecord:
    names = tuple(sorted(change.objects))
    return AuditRecord(
        offset=record.offset,
        time_ms=record.time_ms,
        change_id=change.change_id,
        author=change.author,
        base=change.base,
        objects=names,
        previous=tuple(objects[name].version if name in objects else -1 for name in names),
        accepted=rejection is None,
        reason="" if rejection is None else rejection.reason,
        winner=-1 if rejection is None else rejection.winner,
    )


def _malformed(record: LogRecord, reason: str) -> AuditRecord:
    def text(field: str) -> str:
        value: Any = record.value.get(field)
        return value[:MAX_REASON_CHARS] if isinstance(value, str) else ""

    return AuditRecord(
        offset=record.offset,
        time_ms=record.time_ms,
        change_id=text("change_id"),
        author=text("author"),
        base=-1,
        objects=(),
        previous=(),
        accepted=False,
        reason=reason,
    )
