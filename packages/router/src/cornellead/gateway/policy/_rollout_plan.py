"""Next step of a rollout."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.routing import RolloutOrder
from cornellead_core.routing import RolloutPhase
from cornellead_core.routing import RolloutRecord

STEPS = ((0.05, 0.5), (0.0, 0.25))
"""Steps as the part of the duration from which they apply, and the part of the exposure share. The
other half is left for the move, in which the old servers finish their requests."""
MOVE_LIMIT = 0.95
"""Part of the exposure share that a router may have used in all when the move ends."""
MOVE_LEAD_S = 10.0
"""Time before the deadline at which all requests move: the time for the move itself, and four
seconds for the next router in rank and a slow store."""
MOVE_S = 6.0
"""Maximum time for which the old servers finish their requests before operators are told that the
rollout is completed: the old servers end at once then."""
MOVE_SHARE = 0.45
"""The same as a part of the duration times the exposure share: after it, a router has used up what
the steps have left."""
MAX_LEAD_SHARE = 0.3
"""Maximum part of a short rollout that `MOVE_LEAD_S` may take."""
MIN_OLD_RESPONSES = 200
"""Responses of the old version by which the new one must have responded too, if it has servers."""
REPLACED = "replaced by another order"
WITHDRAWN = "order withdrawn"
NO_SERVER = "no server of the version"
NO_RESPONSE = "no response of the version"


class RolloutFacts(NamedTuple):
    """What the next step depends on."""

    order: RolloutOrder | None
    """``None`` if the order was withdrawn."""
    record: RolloutRecord | None
    """State in the store; ``None`` if there is none."""
    elapsed_s: float
    """Time since the order."""
    fault: str
    """Why the version is bad; empty if it is not."""
    fault_before: str
    """The same for the order before this one, if that has to be rolled back first."""
    new_responses: int
    old_responses: int
    new_servers: int
    old_servers: int
    """Listed servers of other versions."""
    exposure_share: float


def next_record(facts: RolloutFacts) -> RolloutRecord | None:
    """Return the state to write next; ``None`` if the one in the store stays.

    A state that operators have not been told of stays, unless the version is bad or no longer
    ordered: operators see each end of a rollout before the next one begins.
    """
    record, order = facts.record, facts.order
    if record is None or record.phase.ended:
        return _start(facts)
    if order is None:
        return _end(record, RolloutPhase.ROLLED_BACK, facts, WITHDRAWN)
    if order.to != record.to:
        return _end(record, RolloutPhase.ROLLED_BACK, facts, REPLACED)
    if facts.fault_before and record.order_id != order.order_id:
        return _end(record, RolloutPhase.ROLLED_BACK, facts, facts.fault_before)
    record = record._replace(order_id=order.order_id)
    if facts.fault:
        return _end(record, RolloutPhase.ROLLED_BACK, facts, facts.fault)
    if not record.announced:
        return None
    if record.phase is RolloutPhase.MOVING:
        moved = facts.elapsed_s - record.elapsed_s >= _move_s(order, facts)
        return _end(record, RolloutPhase.COMPLETED, facts, "") if moved else None
    if facts.elapsed_s >= order.duration_s - _lead_s(order):
        return _conclude(record, order, facts)
    share = max(record.share, _share(order, facts))
    if share == record.share:
        return None
    return record._replace(share=share, elapsed_s=facts.elapsed_s)


def _start(facts: RolloutFacts) -> RolloutRecord | None:
    record, order = facts.record, facts.order
    if order is None or (record is not None and not record.announced):
        return None
    if record is not None and record.order_id == order.order_id:
        return None
    started = RolloutRecord(
        order_id=order.order_id,
        to=order.to,
        phase=RolloutPhase.RUNNING,
        share=_share(order, facts),
        elapsed_s=facts.elapsed_s,
        announced=False,
    )
    if facts.fault:
        return _end(started, RolloutPhase.ROLLED_BACK, facts, facts.fault)
    if facts.new_servers and not facts.old_servers:
        return _end(started, RolloutPhase.COMPLETED, facts, "")
    return started


def _conclude(
    record: RolloutRecord, order: RolloutOrder, facts: RolloutFacts
) -> RolloutRecord | None:
    """Return the end of the time for the proof: the move, or the rollback at the deadline."""
    reason = ""
    if not facts.new_servers:
        reason = NO_SERVER
    elif not facts.new_responses and facts.old_responses >= MIN_OLD_RESPONSES:
        reason = NO_RESPONSE
    if not reason:
        return record._replace(
            phase=RolloutPhase.MOVING,
            share=MOVE_LIMIT * facts.exposure_share,
            elapsed_s=facts.elapsed_s,
        )
    if facts.elapsed_s < order.duration_s - _lead_s(order) / 4:
        return None
    return _end(record, RolloutPhase.ROLLED_BACK, facts, reason)


def _end(
    record: RolloutRecord, phase: RolloutPhase, facts: RolloutFacts, reason: str
) -> RolloutRecord:
    share = 1.0 if phase is RolloutPhase.COMPLETED else 0.0
    return record._replace(
        phase=phase, share=share, elapsed_s=facts.elapsed_s, announced=False, reason=reason
    )


def _share(order: RolloutOrder, facts: RolloutFacts) -> float:
    part = facts.elapsed_s / order.duration_s
    factor = next((factor for begin, factor in STEPS if part >= begin), STEPS[-1][1])
    return factor * facts.exposure_share


def _lead_s(order: RolloutOrder) -> float:
    return min(MOVE_LEAD_S, MAX_LEAD_SHARE * order.duration_s)


def _move_s(order: RolloutOrder, facts: RolloutFacts) -> float:
    return min(MOVE_S, MOVE_SHARE * facts.exposure_share * order.duration_s, _lead_s(order) / 2)
