"""Judges a finished history."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.guarantees.claim_histories._fake_service import Effect
    from tests.guarantees.claim_histories._world import Attempt


def outcome_of(attempt: Attempt) -> str:
    """Return what the caller was told: an outcome, ``replayed``, or empty without an answer."""
    response = attempt.response
    if response is None:
        return ""
    if response.status == 200:
        return "replayed" if ("idempotent-replayed", "true") in response.headers else "ran"
    return str(json.loads(response.body)["error"]["outcome"])


def find_violations(attempts: Sequence[Attempt], effects: Sequence[Effect]) -> list[str]:
    """Return every way in which the answers contradict the effects."""
    by_key: defaultdict[str, list[Effect]] = defaultdict(list)
    by_request: defaultdict[str, list[Effect]] = defaultdict(list)
    for effect in effects:
        by_key[effect.key].append(effect)
        by_request[effect.request_id].append(effect)
    found = [f"key {key} has {len(e)} effects" for key, e in by_key.items() if len(e) > 1]
    for attempt in attempts:
        own, of_key = by_request[attempt.request_id], by_key[attempt.key]
        answer = b"" if attempt.response is None else attempt.response.body
        status = 0 if attempt.response is None else attempt.response.status
        outcome = outcome_of(attempt)
        name = f"{attempt.request_id} ({attempt.key}, {outcome} {status})"
        if outcome == "not_run" and own:
            found.append(f"{name} ran")
        if outcome == "ran" and status == 200 and [effect.answer for effect in own] != [answer]:
            found.append(f"{name} has {len(own)} effects, or another answer")
        if outcome == "ran" and status != 200 and len(of_key) != 1:
            found.append(f"{name} but its key has {len(of_key)} effects")
        if outcome == "replayed" and [(e.answer, e.body) for e in of_key] != [
            (answer, attempt.body)
        ]:
            found.append(f"{name} differs from the first answer")
        bodies = {other.body for other in attempts if other.key == attempt.key}
        if status == 422 and len(bodies) == 1:
            found.append(f"{name} although no other body was sent")
    return found
