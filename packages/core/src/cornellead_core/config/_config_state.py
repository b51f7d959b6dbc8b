"""State of the configuration after applying the log up to an offset."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success


class ConfigObject(NamedTuple):
    """One object; a deleted object keeps its version so that a stale change to it is rejected."""

    version: int
    """Offset of the last accepted change."""
    author: str
    value: dict[str, Any] | None
    """``None`` when deleted."""


class Verdict(NamedTuple):
    """Decision on one change."""

    offset: int
    change_id: str
    reason: str
    """Why the change was rejected, or empty when it was accepted."""


class ConfigState(NamedTuple):
    """All objects and the latest decisions; the same on every node at the same offset."""

    offset: int = -1
    objects: Mapping[str, ConfigObject] = {}
    recent: tuple[Verdict, ...] = ()
    """Oldest first; recognises a change that is in the log twice."""

    def find_verdict(self, change_id: str) -> Verdict | None:
        """Return the decision on a change, if it is recent."""
        return next((item for item in self.recent if item.change_id == change_id), None)


_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(ConfigState)


def encode_state(state: ConfigState) -> bytes:
    """Encode a state as canonical JSON."""
    return _encoder.encode(state)


def digest_state(state: ConfigState) -> str:
    """Return the SHA-256 of a state in hexadecimal."""
    return hashlib.sha256(encode_state(state)).hexdigest()


def decode_state(content: bytes) -> Result[ConfigState, str]:
    """Decode a state.

    >>> decode_state(encode_state(ConfigState())).unwrap()
    ConfigState(offset=-1, objects={}, recent=())
    """
    try:
        return Success(_decoder.decode(content))
    except msgspec.DecodeError as exc:
        return Failure(f"malformed configuration state: {exc}")
