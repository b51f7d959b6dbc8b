"""Load reports and summaries exchanged between processes, and their header encoding."""

from __future__ import annotations

import base64
from enum import StrEnum
from typing import NamedTuple

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.decoding import UNREADABLE


class ServerState(StrEnum):
    """Whether an agent admits new work for its server."""

    SERVING = "serving"
    DRAINING = "draining"
    OUT_OF_SERVICE = "out_of_service"
    DOWN = "down"


class LoadReport(NamedTuple):
    """Load of one server, reported by its agent."""

    server: str
    incarnation: int
    """Unix time in milliseconds at which the agent process started."""
    seq: int
    """Increases with each report of the process."""
    age_ms: int
    load: int
    """Requests in flight."""
    capacity: float
    limit: int
    """Current admission limit in requests."""
    state: ServerState


class DcSummary(NamedTuple):
    """Total load of a group of engines in one data centre."""

    dc: str
    group: int
    seq: int
    age_ms: int
    load: int
    capacity: float
    servers: int


class Digest(NamedTuple):
    """Load summaries of a process, and its own report if it is an agent."""

    summaries: list[DcSummary]
    own: LoadReport | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Digest)


def encode_digest(digest: Digest) -> str:
    """Encode a digest for the ``x-cl-load`` header."""
    return base64.b64encode(_encoder.encode(digest)).decode()


def decode_digest(value: str) -> Result[Digest, str]:
    """Decode the ``x-cl-load`` header.

    >>> decode_digest(encode_digest(Digest([]))).unwrap()
    Digest(summaries=[], own=None)
    """
    try:
        return Success(_decoder.decode(base64.b64decode(value, validate=True)))
    except UNREADABLE as exc:
        return Failure(f"malformed load digest: {exc}")
