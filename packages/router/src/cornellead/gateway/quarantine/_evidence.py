"""What routers tell each other about crashes."""

from __future__ import annotations

from typing import NamedTuple


class CrashItem(NamedTuple):
    """`CrashReport` with an age in place of a time."""

    request: int
    server: int
    parts: tuple[str, ...]
    age_s: float


class AnswerItem(NamedTuple):
    """Latest answer to a request with a part."""

    part: str
    age_s: float


class QuarantineItem(NamedTuple):
    """`QuarantinedPart` with an age in place of a time."""

    part: str
    strikes: int
    crashes: int
    age_s: float


class Evidence(NamedTuple):
    """Message between routers. Ages are used, since the clocks of routers differ."""

    router: str
    crashes: list[CrashItem]
    answers: list[AnswerItem]
    quarantined: list[QuarantineItem]
