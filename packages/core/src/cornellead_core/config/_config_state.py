"""Replicated state of the configuration after applying the log up to an offset.

States are encoded as JSON arrays, so the order of the fields is part of the stored format.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.decoding import UNREADABLE


class ConfigObject(NamedTuple):
    """An object and its last change.

    A deleted object stays in the state as a tombstone: without its version, a stale change could
    restore it.
    """

    version: int
    """Offset of the last accepted change."""
    author: str
    value: dict[str, Any] | None
    """``None`` if the object is deleted."""


class ChangeDecision(NamedTuple):
    """Decision whether a change was accepted."""

    offset: int
    change_id: str
    reason: str
    """Why the change was rejected; empty if it was accepted."""


class ConfigState(NamedTuple):
    """All objects and the latest decisions; identical in all processes at the same offset."""

    offset: int = -1
    objects: Mapping[str, ConfigObject] = {}
    recent_decisions: tuple[ChangeDecision, ...] = ()
    """Decisions on the latest changes, oldest first; detects changes appended twice."""

    def find_decision(self, change_id: str) -> ChangeDecision | None:
        """Return the decision on a change, or ``None`` if it is unknown or no longer kept."""
        return next(
            (decision for decision in self.recent_decisions if decision.change_id == change_id),
            None,
        )


_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(ConfigState)


def encode_state(state: ConfigState) -> bytes:
    """Encode a state as canonical JSON with sorted keys, so that equal states have equal bytes."""
    return _encoder.encode(state)


def digest_state(state: ConfigState) -> str:
    """Return the SHA-256 digest of the canonical encoding of a state, in hexadecimal."""
    return hashlib.sha256(encode_state(state)).hexdigest()


def decode_state(content: bytes) -> Result[ConfigState, str]:
    """Decode a state from JSON; its objects are not validated.

    >>> decode_state(encode_state(ConfigState())).unwrap()
    ConfigState(offset=-1, objects={}, recent_decisions=())
    """
    try:
        return Success(_decoder.decode(content))
    except UNREADABLE as exc:
        return Failure(f"malformed configuration state: {exc}")
