"""Refusals: responses that guarantee that the request was not executed."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RefusalReason(StrEnum):
    """Reason of a refusal, sent in the ``x-cl-refusal`` header."""

    OVER_BOUND = "over_bound"
    COLD = "cold"
    DRAINING = "draining"
    OUT_OF_SERVICE = "out_of_service"
    NO_CACHE = "no_cache"
    MOVED = "moved"
    STALE_CONFIG = "stale_config"
    NOT_OWNER = "not_owner"
    LOG_UNAVAILABLE = "log_unavailable"
    DEADLINE = "deadline"
    SERVER_DOWN = "server_down"
    NO_ROOM = "no_room"
    """The requests in progress hold all memory that the process has for callers."""
    UNAUTHORIZED = "unauthorized"
    KEY_CONFLICT = "key_conflict"
    KEY_EXPIRED = "key_expired"
    UNKNOWN_TARGET = "unknown_target"
    TEAM_LIMIT = "team_limit"


class Refusal(NamedTuple):
    """A refusal with optional advice for the next attempt."""

    reason: RefusalReason
    message: str
    hint: str = ""
    """Id of the server that the refusing agent suggests instead, or empty."""
    retry_after_s: float | None = None
