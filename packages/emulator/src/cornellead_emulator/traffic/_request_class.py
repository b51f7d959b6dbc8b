"""Classes of requests to the model servers."""

from __future__ import annotations

import msgspec


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests with the same rate, prompt structure, latency target and urgency.

    A prompt consists of a common part, a session part and a part of its own.
    """

    name: str
    per_s: float
    """Requests per second of all callers together."""
    common_tokens: int
    """Mean tokens of a common part, which many sessions share."""
    common_parts: int
    """Number of different common parts."""
    session_tokens: int
    """Mean tokens of a session part, which all requests of a session share."""
    sessions: int
    """Number of sessions."""
    own_tokens: int
    """Mean tokens of the part that belongs to one request alone."""
    output_tokens: int
    """Mean number of generated tokens."""
    aim_s: float
    """Latency target: maximum time to first token."""
    deadline_s: float
    """Time after which the caller gives up."""
    urgency: int
    """0 is the most urgent."""


USERS_CLASSES = (
    RequestClass(
        name="season-plan",
        per_s=9.15,
        common_tokens=512,
        common_parts=1,
        session_tokens=10_000,
        sessions=41,
        own_tokens=1300,
        output_tokens=384,
        aim_s=0.8,
        deadline_s=15.0,
        urgency=1,
    ),
    RequestClass(
        name="family-chat",
        per_s=11.9,
        common_tokens=119,
        common_parts=40,
        session_tokens=580,
        sessions=80,
        own_tokens=130,
        output_tokens=294,
        aim_s=0.5,
        deadline_s=12.0,
        urgency=0,
    ),
    RequestClass(
        name="complaint-tag",
        per_s=12.9,
        common_tokens=341,
        common_parts=20,
        session_tokens=1700,
        sessions=87,
        own_tokens=360,
        output_tokens=24,
        aim_s=0.5,
        deadline_s=3.0,
        urgency=2,
    ),
)
"""Requests of the users of one deployment to its model servers."""
