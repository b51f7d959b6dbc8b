"""Checks the responses of a finished history against the effects in the service."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.guarantees.claim_histories._fake_service import Effect
    from tests.guarantees.claim_histories._world import Attempt


def outcome_of(attempt: Attempt) -> str:
    """Return the outcome reported to the caller: ``replayed``, or empty without a response."""
    response = attempt.response
    if response is None:
        return ""
    if response.status == 200:
        return "replayed" if ("idempotent-replayed", "true") in response.headers else "ran"
    return str(json.loads(response.body)["error"]["outcome"])


def find_violations(attempts: Sequence[Attempt], effects: Sequence[Effect]) -> list[str]:
    """Return a description of every contradiction between responses and effects."""
    by_key: defaultdict[str, list[Effect]] = defaultdict(list)
    by_request: defaultdict[str, list[Effect]] = defaultdict(list)
    for effect in effects:
        by_key[effect.key].append(effect)
        by_request[effect.request_id].append(effect)
    violations = [f"key {key} has {len(e)} effects" for key, e in by_key.items() if len(e) > 1]
    for attempt in attempts:
        request_effects, key_effects = by_request[attempt.request_id], by_key[attempt.key]
        response_body = b"" if attempt.response is None else attempt.response.body
        status = 0 if attempt.response is None else attempt.response.status
        outcome = outcome_of(attempt)
        name = f"{attempt.request_id} ({attempt.key}, {outcome} {status})"
        if outcome == "not_run" and request_effects:
            violations.append(f"{name} had an effect")
        if (
            outcome == "ran"
            and status == 200
            and [effect.response for effect in request_effects] != [response_body]
        ):
            violations.append(f"{name} has {len(request_effects)} effects, or a different response")
        if outcome == "ran" and status != 200 and len(key_effects) != 1:
            violations.append(f"{name} but its key has {len(key_effects)} effects")
        if outcome == "replayed" and [(e.response, e.body) for e in key_effects] != [
            (response_body, attempt.body)
        ]:
            violations.append(f"{name} differs from the original response")
        key_bodies = {other.body for other in attempts if other.key == attempt.key}
        if status == 422 and len(key_bodies) == 1:
            violations.append(f"{name} although all requests with its key have the same body")
    return violations
