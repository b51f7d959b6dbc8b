"""Requests to the model servers of a deployment with long and short prompts."""

from __future__ import annotations

from cornellead_emulator.traffic._request_class import RequestClass

CONTENDED_CLASSES = (
    RequestClass(
        name="summary",
        per_s=30.2,
        common_tokens=512,
        common_parts=1,
        session_tokens=10_000,
        sessions=4000,
        own_tokens=1300,
        output_tokens=380,
        aim_s=0.645,
        deadline_s=12.907,
        urgency=1,
    ),
    RequestClass(
        name="answer",
        per_s=64.1,
        common_tokens=119,
        common_parts=40,
        session_tokens=580,
        sessions=400,
        own_tokens=130,
        output_tokens=290,
        aim_s=0.319,
        deadline_s=10.618,
        urgency=0,
    ),
    RequestClass(
        name="tag",
        per_s=50.9,
        common_tokens=341,
        common_parts=20,
        session_tokens=1700,
        sessions=400,
        own_tokens=360,
        output_tokens=20,
        aim_s=0.422,
        deadline_s=2.64,
        urgency=2,
    ),
)
"""Rates and sizes of the second deployment in `docs/contended-fleets.md`. The number of sessions is
an assumption: most long prompts are new to the fleet."""
