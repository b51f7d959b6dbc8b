"""What a caller may assume about a request that did not succeed."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Effect of a request on the server."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"
