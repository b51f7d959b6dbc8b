"""Deterministic reducer of the ``config`` stream.

Every process applies the same records in the same order and must reach the same state. The reason
of a rejection is part of that state, and therefore its text is as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from returns.result import Success

from cornellead_core.config._config_state import ChangeDecision
from cornellead_core.config._config_state import ConfigObject
from cornellead_core.config._config_state import ConfigState
from cornellead_core.config._records import CHANGE
from cornellead_core.config._records import SNAPSHOT
from cornellead_core.config._records import AuditRecord
from cornellead_core.config._records import parse_change
from cornellead_core.config._validation import find_problems

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornellead_core.config._records import ChangeRecord
    from cornellead_core.platform import LogRecord

MAX_RECENT_CHANGES = 1000
"""Changes kept for detecting duplicates.

An append whose response was lost is retried within minutes; at 4,100 changes a day this covers
almost six hours.
"""
MAX_REASON_CHARS = 300


class Rejection(NamedTuple):
    """Why a change is rejected, and the offset of the conflicting change or -1."""

    reason: str
    winner: int = -1


def reduce_record(state: ConfigState, record: LogRecord) -> tuple[ConfigState, AuditRecord | None]:
    """Apply the next record of the stream.

    :param record: Record to apply; it is ignored unless its offset follows that of the state.
    :returns: The new state, and the audit record; ``None`` for a snapshot or an ignored record.
    """
    if record.offset != state.offset + 1:
        return state, None
    state = state._replace(offset=record.offset)
    kind = record.value.get("kind")
    if kind == SNAPSHOT:
        return state, None
    if kind != CHANGE:
        return state, _make_malformed_audit_record(record, "malformed kind: use change or snapshot")
    parsed = parse_change(record.value, offset=record.offset)
    if not isinstance(parsed, Success):
        return state, _make_malformed_audit_record(record, parsed.failure())
    change = parsed.unwrap()
    rejection = _find_rejection(state, change)
    audit = _make_audit_record(state.objects, record, change, rejection)
    if state.find_decision(change.change_id) is None:
        decision = ChangeDecision(record.offset, change.change_id, audit.reason)
        state = state._replace(
            recent_decisions=(state.recent_decisions + (decision,))[-MAX_RECENT_CHANGES:]
        )
    if rejection is None:
        state = state._replace(objects=apply_change(state.objects, change, record.offset))
    return state, audit


def apply_change(
    objects: Mapping[str, ConfigObject], change: ChangeRecord, version: int
) -> dict[str, ConfigObject]:
    """Return the objects after an accepted change.

    :param version: Offset of the change, which becomes the version of the changed objects.
    """
    changed = {
        name: ConfigObject(version, change.author, value) for name, value in change.objects.items()
    }
    return {**objects, **changed}


def _find_rejection(state: ConfigState, change: ChangeRecord) -> Rejection | None:
    earlier = state.find_decision(change.change_id)
    if earlier is not None:
        return Rejection(f"duplicate of the change at offset {earlier.offset}", earlier.offset)
    for name in sorted(change.objects):
        current = state.objects.get(name)
        if current is not None and current.version > change.base:
            reason = (
                f"{name} was changed by {current.author} at version {current.version}, "
                f"after the base {change.base}"
            )
            return Rejection(reason, current.version)
    problems = find_problems(state.objects, change.objects)
    return Rejection(problems[0][:MAX_REASON_CHARS]) if problems else None


def _make_audit_record(
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


def _make_malformed_audit_record(record: LogRecord, reason: str) -> AuditRecord:
    def string_field(name: str) -> str:
        value: Any = record.value.get(name)
        return value[:MAX_REASON_CHARS] if isinstance(value, str) else ""

    return AuditRecord(
        offset=record.offset,
        time_ms=record.time_ms,
        change_id=string_field("change_id"),
        author=string_field("author"),
        base=-1,
        objects=(),
        previous=(),
        accepted=False,
        reason=reason,
    )
