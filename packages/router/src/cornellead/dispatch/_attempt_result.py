"""Result of sending a request to one agent."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from cornellead.upstream import Exchange
from cornellead.upstream import ResponseHead
from cornellead_core.outcomes import Refusal


class AgentResponse(NamedTuple):
    """The agent accepted the request; the body is still to be read from the exchange."""

    head: ResponseHead
    exchange: Exchange


class AgentRefusal(NamedTuple):
    """The agent guarantees that this attempt did not run and will not run."""

    refusal: Refusal
    head: ResponseHead


class AttemptFailure(NamedTuple):
    """No valid response arrived."""

    message: str
    may_have_run: bool


AttemptResult: TypeAlias = AgentResponse | AgentRefusal | AttemptFailure
