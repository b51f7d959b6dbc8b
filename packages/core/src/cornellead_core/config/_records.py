"""Records of the ``config`` stream: changes and snapshots."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.config._config_state import ConfigState
from cornellead_core.config._config_state import decode_state
from cornellead_core.config._config_state import digest_state
from cornellead_core.config._config_state import encode_state
from cornellead_core.config._object_name import split_name
from cornellead_core.config._validation import check_state

STREAM = "config"
CHANGE = "change"
SNAPSHOT = "snapshot"
MAX_OBJECTS_PER_CHANGE = 1024
MAX_ID_CHARS = 128


class ChangeRecord(NamedTuple):
    """A change of one or more objects that an operator published."""

    change_id: str
    author: str
    base: int
    """Offset of the configuration that the change was made from, for optimistic concurrency."""
    objects: dict[str, dict[str, Any] | None]
    """New values by object name; ``None`` deletes the object."""
    time: float = 0.0
    """Unix time of the author's host; for information only."""

    def to_record(self) -> dict[str, Any]:
        """Return the value to append to the log."""
        return {"kind": CHANGE, **self._asdict()}


class AuditRecord(NamedTuple):
    """A change with its author, the versions it replaces and the decision on it."""

    offset: int
    time_ms: int
    change_id: str
    author: str
    base: int
    objects: tuple[str, ...]
    previous: tuple[int, ...]
    """Version of each object before the change; -1 if the object did not exist."""
    accepted: bool
    reason: str = ""
    """Why the change was rejected; empty if it was accepted."""
    winner: int = -1
    """Offset of the earlier change that this one conflicts with or repeats; -1 if none."""


def parse_change(value: dict[str, Any], *, offset: int) -> Result[ChangeRecord, str]:
    """Parse the value of a change record; a failure names the malformed field.

    :param offset: Offset of the record; ``base`` must be lower, so that it can't refer to a future
        configuration and thereby never conflict.
    """
    change_id, author = value.get("change_id"), value.get("author")
    base, objects, time = value.get("base"), value.get("objects"), value.get("time", 0.0)
    if not _is_id(change_id):
        return Failure(f"malformed change_id: use a string of at most {MAX_ID_CHARS} characters")
    if not _is_id(author):
        return Failure(f"malformed author: use a string of at most {MAX_ID_CHARS} characters")
    if isinstance(base, bool) or not isinstance(base, int) or not -1 <= base < offset:
        return Failure("malformed base: use the offset of the configuration that was read")
    if not isinstance(objects, dict) or not 0 < len(objects) <= MAX_OBJECTS_PER_CHANGE:
        return Failure(f"malformed objects: use a mapping of 1 to {MAX_OBJECTS_PER_CHANGE} objects")
    for name in sorted(objects):
        if split_name(name) is None:
            return Failure("malformed object name: use <kind>/<name>")
        if objects[name] is not None and not isinstance(objects[name], dict):
            return Failure(f"malformed object {name}: use a mapping, or null to delete")
    if isinstance(time, bool) or not isinstance(time, int | float):
        return Failure("malformed time: use Unix seconds")
    return Success(ChangeRecord(str(change_id), str(author), base, objects, time))


def verified_digest(value: dict[str, Any]) -> str | None:
    """Return the digest of a snapshot record, or ``None`` if the record is not a valid snapshot."""
    return parse_snapshot(value).map(digest_state).value_or(None)


def _is_id(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_ID_CHARS


def make_snapshot(state: ConfigState) -> dict[str, Any]:
    """Build the value of a record that stores a whole state in the log."""
    return {
        "kind": SNAPSHOT,
        "upto": state.offset,
        "state": msgspec.json.decode(encode_state(state)),
        "digest": digest_state(state),
    }


def parse_snapshot(value: dict[str, Any]) -> Result[ConfigState, str]:
    """Decode a snapshot record and verify its digest and its objects."""
    if value.get("kind") != SNAPSHOT:
        return Failure("not a snapshot")
    try:
        content = msgspec.json.encode(value.get("state"))
    except (OverflowError, TypeError, ValueError) as exc:
        return Failure(f"malformed snapshot: {exc}")
    decoded = decode_state(content)
    if not isinstance(decoded, Success):
        return decoded
    state = decoded.unwrap()
    upto = value.get("upto")
    if type(upto) is not int or state.offset != upto or digest_state(state) != value.get("digest"):
        return Failure("snapshot does not match its digest")
    problems = check_state(state)
    if problems:
        return Failure(f"snapshot is not valid: {problems[0]}")
    return Success(state)
