"""What one attempt to have an agent run a request led to."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from cornellead.upstream import Exchange
from cornellead.upstream import ResponseHead
from cornellead_core.outcomes import Refusal


class Answered(NamedTuple):
    """The agent accepted the request; the body follows."""

    head: ResponseHead
    exchange: Exchange


class Refused(NamedTuple):
    """The agent refused: this attempt did not run and will not run."""

    refusal: Refusal
    head: ResponseHead


class Failed(NamedTuple):
    """No usable response."""

    message: str
    may_have_run: bool


AgentReply: TypeAlias = Answered | Refused | Failed
