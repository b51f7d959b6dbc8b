"""Authentication, priority, deadline and body of a request, for chats and service calls alike."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.errors import ApiError
from cornellead.errors import invalid_request_error
from cornellead.errors import unavailable_error
from cornellead_core.config import Priority
from cornellead_core.config import TeamPolicy
from cornellead_core.facts import CONFIG
from cornellead_core.facts import DRAINING

if TYPE_CHECKING:
    from cornellead.api._caller_connection import CallerConnection
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.settings import RouterSettings

MAX_DEADLINE_S = 3600.0
"""Upper limit for the deadline that a caller may ask for."""


class CallerRequest(NamedTuple):
    """An authenticated request with its priority and deadline."""

    team: TeamPolicy
    priority: Priority
    deadline: float
    """Loop time in seconds at which the caller stops waiting; the time to read the body counts."""
    received_at: float
    """Loop time in seconds at which the body was complete."""
    body: bytes


async def read_request(
    conn: CallerConnection, *, board: Blackboard, settings: RouterSettings
) -> CallerRequest | ApiError:
    """Authenticate a request, parse its headers and read its body.

    :returns: The request, or the error for the caller.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    if board.read(DRAINING):
        return unavailable_error("draining", "this router is stopping; retry through another one")
    team = authenticate(conn, board)
    if isinstance(team, ApiError):
        return team
    priority = _parse_priority(conn, team)
    if isinstance(priority, ApiError):
        return priority
    remaining_s = _parse_deadline(conn, settings.default_deadline_s)
    if isinstance(remaining_s, ApiError):
        return remaining_s
    body = await conn.read_body(limit=settings.max_body_bytes, timeout_s=settings.body_timeout_s)
    if isinstance(body, ApiError):
        return body
    return CallerRequest(team, priority, started_at + remaining_s, loop.time(), body)


def authenticate(conn: CallerConnection, board: Blackboard) -> TeamPolicy | ApiError:
    """Return the team of the bearer token, or the error for the caller."""
    token = conn.bearer_token
    team = board.read(CONFIG).authenticate(token) if token is not None else None
    if team is None:
        message = "no team has this bearer token; send a valid one in the authorization header"
        return invalid_request_error(message, status=401, code="invalid_api_key")
    return team


def _parse_priority(conn: CallerConnection, team: TeamPolicy) -> Priority | ApiError:
    text = conn.header("x-priority")
    if text is None:
        return team.default_priority
    try:
        priority = Priority(text)
    except ValueError:
        return invalid_request_error(
            "x-priority is neither interactive nor batch", code="invalid_priority"
        )
    if priority not in team.allowed_priorities:
        message = f"team {team.name} may not use priority {priority}; omit x-priority"
        return invalid_request_error(message, status=403, code="priority_not_allowed")
    return priority


def _parse_deadline(conn: CallerConnection, default_s: float) -> float | ApiError:
    text = conn.header("x-deadline-ms")
    if text is None:
        return default_s
    if not text.isascii() or not text.isdecimal():
        return invalid_request_error("x-deadline-ms is not a whole number of milliseconds")
    # 12 digits exceed the maximum already, and int() raises an error above 4300 digits.
    return min(MAX_DEADLINE_S, int(text[:12]) / 1000)
