"""Checks of the shape of configuration objects."""

from __future__ import annotations

import re
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Final
from typing import TypeAlias

from cornellead_core.config._object_name import NAME_HELP
from cornellead_core.config._object_name import ObjectKind
from cornellead_core.config._object_name import is_name
from cornellead_core.config._problem import Problem
from cornellead_core.settings import DURATION_HELP
from cornellead_core.settings import parse_duration

Path: TypeAlias = tuple[str, ...]
Check: TypeAlias = Callable[[Any, Path], Iterable[Problem]]

REFERENCE: Final = re.compile(r"\$\{([A-Za-z0-9_.-]*)\}")
PRIORITIES: Final = ("interactive", "batch")
DATA_CENTRE_STATES: Final = ("in", "out")
SERVER_STATES: Final = ("serving", "draining")
MAX_NUMBER: Final = 1e9
MAX_STRING_CHARS: Final = 1024
MAX_LIST_ITEMS: Final = 1024
MIN_BOUND: Final = 1.0
MAX_BOUND: Final = 100.0

_DIGEST = re.compile(r"[0-9a-f]{64}")


def check_object(kind: ObjectKind, value: object) -> list[Problem]:
    """Check one object by itself; values with ``${parameter}`` are checked after resolution."""
    problems = list(_CHECKS[kind](value, ()))
    if kind is ObjectKind.TEMPLATE and isinstance(value, Mapping):
        value = value.get("parameters")
    return problems + [
        Problem(path, "references belong in the spec of a template")
        for _, path in find_references(value, ())
    ]


def check_spec(spec: object) -> list[Problem]:
    """Check the spec of a template after all references have been resolved."""
    return list(_check_spec(spec, ("spec",)))


def find_references(value: object, path: Path) -> Iterable[tuple[str, Path]]:
    """Yield the name and the place of every ``${parameter}``."""
    if isinstance(value, str):
        for match in REFERENCE.finditer(value):
            yield match[1], path
    elif isinstance(value, Mapping):
        for key, child in value.items():
            yield from find_references(child, (*path, str(key)))
    elif isinstance(value, list):
        for index, child in enumerate(value):
            yield from find_references(child, (*path, str(index)))


def _fields(required: Mapping[str, Check], optional: Mapping[str, Check]) -> Check:
    known = {**required, **optional}

    def check(value: Any, path: Path) -> Iterable[Problem]:
        if not isinstance(value, Mapping):
            yield Problem(path, "expected a mapping", ", ".join(known))
            return
        for key in sorted(map(str, value)):
            if key not in known:
                yield Problem((*path, key), "unknown key", ", ".join(known))
        for key, child_check in known.items():
            if key in value:
                yield from child_check(value[key], (*path, key))
            elif key in required:
                yield Problem((*path, key), "missing")

    return check


def _names(value: Any, path: Path) -> Iterable[Problem]:
    if has_reference(value):
        return
    if not isinstance(value, list) or len(value) > MAX_LIST_ITEMS:
        yield Problem(path, "expected a list of names", f"at most {MAX_LIST_ITEMS} names")
        return
    for index, item in enumerate(value):
        yield from _name(item, (*path, str(index)))


def _name(value: Any, path: Path) -> Iterable[Problem]:
    if not has_reference(value) and not is_name(value):
        yield Problem(path, f"{_show(value)} is not a name", NAME_HELP)


def _text(value: Any, path: Path) -> Iterable[Problem]:
    if not isinstance(value, str) or len(value) > MAX_STRING_CHARS:
        help_text = f"a string of at most {MAX_STRING_CHARS} characters; put numbers in quotes"
        yield Problem(path, f"{_show(value)} is not a string", help_text)


def _choice(choices: tuple[str, ...]) -> Check:
    def check(value: Any, path: Path) -> Iterable[Problem]:
        if not has_reference(value) and value not in choices:
            yield Problem(path, f"{_show(value)} is not accepted", ", ".join(choices))

    return check


def _choices(choices: tuple[str, ...]) -> Check:
    def check(value: Any, path: Path) -> Iterable[Problem]:
        if has_reference(value):
            return
        if not isinstance(value, list) or not value:
            yield Problem(path, "expected a list", f"some of {', '.join(choices)}")
            return
        for index, item in enumerate(value):
            yield from _choice(choices)(item, (*path, str(index)))

    return check


def _number(least: float, most: float, *, whole: bool = False) -> Check:
    kinds = int if whole else (int, float)
    word = "a whole number" if whole else "a number"

    def check(value: Any, path: Path) -> Iterable[Problem]:
        if has_reference(value):
            return
        if isinstance(value, bool) or not isinstance(value, kinds) or not least <= value <= most:
            accepted = f"{word} from {least:g} to {most:g}"
            yield Problem(path, f"{_show(value)} is not accepted", accepted)

    return check


def _duration(value: Any, path: Path) -> Iterable[Problem]:
    if not has_reference(value) and not parse_duration(value):
        yield Problem(path, f"{_show(value)} is not a duration above 0", DURATION_HELP)


def _digests(value: Any, path: Path) -> Iterable[Problem]:
    digests = value if isinstance(value, list) else [value]
    if not digests or len(digests) > MAX_LIST_ITEMS:
        yield Problem(path, "expected at least one digest")
    for digest in digests:
        if not isinstance(digest, str) or not _DIGEST.fullmatch(digest):
            # The value is not shown: a token given by mistake would end up in logs.
            yield Problem(path, "not a SHA-256 digest", "64 lower-case hexadecimal digits")


def _parameter(value: Any, path: Path) -> Iterable[Problem]:
    if value is None or isinstance(value, bool):
        return
    if isinstance(value, str):
        yield from _text(value, path)
    elif isinstance(value, int | float):
        yield from _number(-MAX_NUMBER, MAX_NUMBER)(value, path)
    elif isinstance(value, list) and len(value) <= MAX_LIST_ITEMS:
        for index, item in enumerate(value):
            yield from _text(item, (*path, str(index)))
    else:
        yield Problem(path, "not a parameter value", "a string, a number or a list of strings")


def _parameters(value: Any, path: Path) -> Iterable[Problem]:
    if not isinstance(value, Mapping):
        yield Problem(path, "expected a mapping from parameter to value")
        return
    for key in sorted(map(str, value)):
        if not is_name(key):
            yield Problem((*path, key), "not a parameter name", NAME_HELP)
        yield from _parameter(value[key], (*path, key))


_SERVICE = _fields({}, {"idempotent": _names, "at_most_once": _names})


def _services(value: Any, path: Path) -> Iterable[Problem]:
    if not isinstance(value, Mapping):
        yield Problem(path, "expected a mapping from service to its operations")
        return
    for name in sorted(map(str, value)):
        where = (*path, name)
        if not is_name(name):
            yield Problem(where, f"{_show(name)} is not a name", NAME_HELP)
        problems = list(_SERVICE(value[name], where))
        yield from problems
        if problems:
            continue
        lists = [value[name].get(key, []) for key in ("idempotent", "at_most_once")]
        if all(isinstance(item, list) for item in lists):
            for operation in sorted(set(lists[0]) & set(lists[1])):
                yield Problem(where, f"{operation} is both idempotent and at_most_once", "one")


_PRIORITIES = _fields({}, {"default": _choice(PRIORITIES), "allowed": _choices(PRIORITIES)})


def _priorities(value: Any, path: Path) -> Iterable[Problem]:
    problems = list(_PRIORITIES(value, path))
    yield from problems
    if problems:
        return
    default, allowed = value.get("default"), value.get("allowed")
    if default is None or not isinstance(allowed, list):
        return
    if not any(map(has_reference, [default, *allowed])) and default not in allowed:
        yield Problem((*path, "default"), f"{default} is not allowed", ", ".join(allowed))


_check_spec: Final = _fields(
    {
        "limits": _fields(
            {
                "requests_per_second": _number(0.001, MAX_NUMBER),
                "concurrent_requests": _number(1, MAX_NUMBER, whole=True),
            },
            {},
        )
    },
    {
        "models": _names,
        "priorities": _priorities,
        "load_bound": _number(MIN_BOUND, MAX_BOUND),
        "services": _services,
        "key_validity": _duration,
    },
)


def _check_template(value: Any, path: Path) -> Iterable[Problem]:
    yield from _fields({"spec": _check_spec}, {"parameters": _parameters})(value, path)
    if not isinstance(value, Mapping):
        return
    declared = value.get("parameters", {})
    known = sorted(map(str, declared)) if isinstance(declared, Mapping) else []
    for name, where in find_references(value.get("spec"), (*path, "spec")):
        if name not in known:
            help_text = ", ".join(known) or "declare it under parameters"
            yield Problem(where, f"parameter {name!r} is not declared", help_text)


_CHECKS: Final[Mapping[ObjectKind, Check]] = {
    ObjectKind.TEMPLATE: _check_template,
    ObjectKind.TEAM: _fields(
        {"template": _name, "token_sha256": _digests}, {"parameters": _parameters}
    ),
    ObjectKind.MODEL: _fields({}, {"description": _text}),
    ObjectKind.DATA_CENTRE: _fields({"state": _choice(DATA_CENTRE_STATES)}, {}),
    ObjectKind.SERVER: _fields(
        {},
        {
            "state": _choice(SERVER_STATES),
            "models": _names,
            "adapters": _names,
            "version": _text,
            "role": _text,
        },
    ),
}


def has_reference(value: object) -> bool:
    """Return whether a value is a string with a ``${parameter}``."""
    return isinstance(value, str) and REFERENCE.search(value) is not None


def _show(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
