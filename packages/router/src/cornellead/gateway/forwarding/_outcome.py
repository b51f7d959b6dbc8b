"""How an attempt at a server ended."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.routing import HeaderList


class Delivered(NamedTuple):
    """The caller has the whole response."""

    status: int


class Answered(NamedTuple):
    """The server answered with a failure that may be replaced by another attempt's response."""

    status: int
    headers: HeaderList
    body: bytes


class NotRun(NamedTuple):
    """The server stated that it did not run the request."""

    status: int


class Broken(NamedTuple):
    """The response did not arrive whole, or is none of this server."""

    cause: str


AttemptOutcome = Delivered | Answered | NotRun | Broken
