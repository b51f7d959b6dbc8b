"""Schema checks of single configuration objects.

Problems of a change are stored as the reason of its rejection, which is part of the replicated
state and its digest. Processes with different message texts would therefore disagree.
"""

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

FieldPath: TypeAlias = tuple[str, ...]
Check: TypeAlias = Callable[[Any, FieldPath], Iterable[Problem]]

REFERENCE_PATTERN: Final = re.compile(r"\$\{([A-Za-z0-9_.-]*)\}")
PRIORITIES: Final = ("interactive", "batch")
DATA_CENTRE_STATES: Final = ("in", "out")
SERVER_STATES: Final = ("serving", "draining")
MAX_NUMBER: Final = 1e9
MAX_STRING_CHARS: Final = 1024
MAX_LIST_ITEMS: Final = 1024
MIN_LOAD_BOUND: Final = 1.0
MAX_LOAD_BOUND: Final = 100.0

_SHA256_HEX = re.compile(r"[0-9a-f]{64}")


def check_object(kind: ObjectKind, value: object) -> list[Problem]:
    """Check an object without regard to others.

    Values with a ``${parameter}`` are skipped; `check_spec` checks them after resolution.
    """
    problems = list(_CHECK_BY_KIND[kind](value, ()))
    if kind is ObjectKind.TEMPLATE and isinstance(value, Mapping):
        value = value.get("parameters")
    return problems + [
        Problem(path, "references belong in the spec of a template")
        for _, path in find_references(value, ())
    ]


def check_spec(spec: object) -> list[Problem]:
    """Check the spec of a template in which all ``${parameter}`` references are resolved."""
    return list(_check_spec(spec, ("spec",)))


def find_references(value: object, path: FieldPath) -> Iterable[tuple[str, FieldPath]]:
    """Yield the parameter name and the field path of every ``${parameter}``."""
    if isinstance(value, str):
        for match in REFERENCE_PATTERN.finditer(value):
            yield match[1], path
    elif isinstance(value, Mapping):
        for key, child in value.items():
            yield from find_references(child, (*path, str(key)))
    elif isinstance(value, list):
        for index, child in enumerate(value):
            yield from find_references(child, (*path, str(index)))


def _mapping_of(required: Mapping[str, Check], optional: Mapping[str, Check]) -> Check:
    checks = {**required, **optional}

    def check(value: Any, path: FieldPath) -> Iterable[Problem]:
        if not isinstance(value, Mapping):
            yield Problem(path, "expected a mapping", ", ".join(checks))
            return
        for key in sorted(map(str, value)):
            if key not in checks:
                yield Problem((*path, key), "unknown key", ", ".join(checks))
        for key, check_field in checks.items():
            if key in value:
                yield from check_field(value[key], (*path, key))
            elif key in required:
                yield Problem((*path, key), "missing")

    return check


def _check_names(value: Any, path: FieldPath) -> Iterable[Problem]:
    if has_reference(value):
        return
    if not isinstance(value, list) or len(value) > MAX_LIST_ITEMS:
        yield Problem(path, "expected a list of names", f"at most {MAX_LIST_ITEMS} names")
        return
    for index, item in enumerate(value):
        yield from _check_name(item, (*path, str(index)))


def _check_name(value: Any, path: FieldPath) -> Iterable[Problem]:
    if not has_reference(value) and not is_name(value):
        yield Problem(path, f"{_format_value(value)} is not a name", NAME_HELP)


def _check_string(value: Any, path: FieldPath) -> Iterable[Problem]:
    if not isinstance(value, str) or len(value) > MAX_STRING_CHARS:
        help_text = f"a string of at most {MAX_STRING_CHARS} characters; put numbers in quotes"
        yield Problem(path, f"{_format_value(value)} is not a string", help_text)


def _one_of(choices: tuple[str, ...]) -> Check:
    def check(value: Any, path: FieldPath) -> Iterable[Problem]:
        if not has_reference(value) and value not in choices:
            yield Problem(path, f"{_format_value(value)} is not accepted", ", ".join(choices))

    return check


def _some_of(choices: tuple[str, ...]) -> Check:
    def check(value: Any, path: FieldPath) -> Iterable[Problem]:
        if has_reference(value):
            return
        if not isinstance(value, list) or not value:
            yield Problem(path, "expected a list", f"some of {', '.join(choices)}")
            return
        for index, item in enumerate(value):
            yield from _one_of(choices)(item, (*path, str(index)))

    return check


def _number_between(minimum: float, maximum: float, *, integer: bool = False) -> Check:
    types = int if integer else (int, float)
    type_name = "a whole number" if integer else "a number"

    def check(value: Any, path: FieldPath) -> Iterable[Problem]:
        if has_reference(value):
            return
        if (
            isinstance(value, bool)
            or not isinstance(value, types)
            or not minimum <= value <= maximum
        ):
            accepted = f"{type_name} from {minimum:g} to {maximum:g}"
            yield Problem(path, f"{_format_value(value)} is not accepted", accepted)

    return check


def _check_duration(value: Any, path: FieldPath) -> Iterable[Problem]:
    if not has_reference(value) and not parse_duration(value):
        yield Problem(path, f"{_format_value(value)} is not a duration above 0", DURATION_HELP)


def _check_digests(value: Any, path: FieldPath) -> Iterable[Problem]:
    digests = value if isinstance(value, list) else [value]
    if not digests or len(digests) > MAX_LIST_ITEMS:
        yield Problem(path, "expected at least one digest")
    for digest in digests:
        if not isinstance(digest, str) or not _SHA256_HEX.fullmatch(digest):
            # Leave out the value: it may be a token set by mistake, which must not reach the logs.
            yield Problem(path, "not a SHA-256 digest", "64 lower-case hexadecimal digits")


def _check_parameter(value: Any, path: FieldPath) -> Iterable[Problem]:
    if value is None or isinstance(value, bool):
        return
    if isinstance(value, str):
        yield from _check_string(value, path)
    elif isinstance(value, int | float):
        yield from _number_between(-MAX_NUMBER, MAX_NUMBER)(value, path)
    elif isinstance(value, list) and len(value) <= MAX_LIST_ITEMS:
        for index, item in enumerate(value):
            yield from _check_string(item, (*path, str(index)))
    else:
        yield Problem(path, "not a parameter value", "a string, a number or a list of strings")


def _check_parameters(value: Any, path: FieldPath) -> Iterable[Problem]:
    if not isinstance(value, Mapping):
        yield Problem(path, "expected a mapping from parameter to value")
        return
    for key in sorted(map(str, value)):
        if not is_name(key):
            yield Problem((*path, key), "not a parameter name", NAME_HELP)
        yield from _check_parameter(value[key], (*path, key))


_check_service_fields = _mapping_of({}, {"idempotent": _check_names, "at_most_once": _check_names})


def _check_services(value: Any, path: FieldPath) -> Iterable[Problem]:
    if not isinstance(value, Mapping):
        yield Problem(path, "expected a mapping from service to its operations")
        return
    for name in sorted(map(str, value)):
        item_path = (*path, name)
        if not is_name(name):
            yield Problem(item_path, f"{_format_value(name)} is not a name", NAME_HELP)
        problems = list(_check_service_fields(value[name], item_path))
        yield from problems
        if problems:
            continue
        lists = [value[name].get(key, []) for key in ("idempotent", "at_most_once")]
        if all(isinstance(item, list) for item in lists):
            for operation in sorted(set(lists[0]) & set(lists[1])):
                yield Problem(item_path, f"{operation} is both idempotent and at_most_once", "one")


_check_priority_fields = _mapping_of(
    {}, {"default": _one_of(PRIORITIES), "allowed": _some_of(PRIORITIES)}
)


def _check_priorities(value: Any, path: FieldPath) -> Iterable[Problem]:
    problems = list(_check_priority_fields(value, path))
    yield from problems
    if problems:
        return
    default, allowed = value.get("default"), value.get("allowed")
    if default is None or not isinstance(allowed, list):
        return
    if not any(map(has_reference, [default, *allowed])) and default not in allowed:
        yield Problem((*path, "default"), f"{default} is not allowed", ", ".join(allowed))


_check_spec: Final = _mapping_of(
    {
        "limits": _mapping_of(
            {
                "requests_per_second": _number_between(0.001, MAX_NUMBER),
                "concurrent_requests": _number_between(1, MAX_NUMBER, integer=True),
            },
            {},
        )
    },
    {
        "models": _check_names,
        "priorities": _check_priorities,
        "load_bound": _number_between(MIN_LOAD_BOUND, MAX_LOAD_BOUND),
        "services": _check_services,
        "key_validity": _check_duration,
    },
)


def _check_template(value: Any, path: FieldPath) -> Iterable[Problem]:
    yield from _mapping_of({"spec": _check_spec}, {"parameters": _check_parameters})(value, path)
    if not isinstance(value, Mapping):
        return
    declared = value.get("parameters", {})
    declared_names = sorted(map(str, declared)) if isinstance(declared, Mapping) else []
    for name, item_path in find_references(value.get("spec"), (*path, "spec")):
        if name not in declared_names:
            help_text = ", ".join(declared_names) or "declare it under parameters"
            yield Problem(item_path, f"parameter {name!r} is not declared", help_text)


_CHECK_BY_KIND: Final[Mapping[ObjectKind, Check]] = {
    ObjectKind.TEMPLATE: _check_template,
    ObjectKind.TEAM: _mapping_of(
        {"template": _check_name, "token_sha256": _check_digests}, {"parameters": _check_parameters}
    ),
    ObjectKind.MODEL: _mapping_of({}, {"description": _check_string}),
    ObjectKind.DATA_CENTRE: _mapping_of({"state": _one_of(DATA_CENTRE_STATES)}, {}),
    ObjectKind.SERVER: _mapping_of(
        {},
        {
            "state": _one_of(SERVER_STATES),
            "models": _check_names,
            "adapters": _check_names,
            "version": _check_string,
            "role": _check_string,
        },
    ),
}


def has_reference(value: object) -> bool:
    """Return whether a value is a string that contains a ``${parameter}``."""
    return isinstance(value, str) and REFERENCE_PATTERN.search(value) is not None


def _format_value(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
