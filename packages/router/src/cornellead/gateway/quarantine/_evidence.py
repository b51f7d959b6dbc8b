"""What routers tell each other about crashes."""

from __future__ import annotations

from typing import NamedTuple

from cornellead.gateway.gossip import Age
from cornellead.gateway.gossip import Count
from cornellead.gateway.gossip import RouterName


class CrashItem(NamedTuple):
    """`CrashReport` with an age in place of a time."""

    request: int
    server: int
    parts: tuple[str, ...]
    age_s: Age


class AnswerItem(NamedTuple):
    """Latest answer to a request with a part."""

    part: str
    age_s: Age


class QuarantineItem(NamedTuple):
    """`QuarantinedPart` with an age in place of a time."""

    part: str
    strikes: Count
    crashes: Count
    age_s: Age


class Evidence(NamedTuple):
    """Message between routers. Ages are used, since the clocks of routers differ."""

    router: RouterName
    crashes: list[CrashItem]
    answers: list[AnswerItem]
    quarantined: list[QuarantineItem]
