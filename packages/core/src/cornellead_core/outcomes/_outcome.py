"""What a caller may assume about the execution of a request that failed."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether the server executed a request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"
