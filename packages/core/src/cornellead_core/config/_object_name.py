"""Names of configuration objects, such as ``team/imigongo``."""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Final

_NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
NAME_HELP: Final = "a name of letters, digits, dot, hyphen and underscore"


class ObjectKind(StrEnum):
    """Kind of a configuration object."""

    TEMPLATE = "template"
    TEAM = "team"
    MODEL = "model"
    DATA_CENTRE = "data_centre"
    SERVER = "server"


_OBJECT_KINDS: Final = frozenset(ObjectKind)


def is_name(value: object) -> bool:
    """Return whether a value is a valid name of an object, a service or an operation."""
    return isinstance(value, str) and _NAME_PATTERN.fullmatch(value) is not None


def split_name(name: object) -> tuple[ObjectKind, str] | None:
    """Split ``<kind>/<name>`` into its parts; return ``None`` if it is not a valid object name.

    >>> split_name("team/imigongo"), split_name("team/"), split_name("crew/x")
    ((<ObjectKind.TEAM: 'team'>, 'imigongo'), None, None)
    """
    if not isinstance(name, str):
        return None
    kind, _, local_name = name.partition("/")
    if kind not in _OBJECT_KINDS or not is_name(local_name):
        return None
    return ObjectKind(kind), local_name
