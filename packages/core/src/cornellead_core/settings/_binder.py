"""Binds YAML documents to typed settings and validates them."""

from __future__ import annotations

import ipaddress
import math
import re
import typing
from typing import TYPE_CHECKING
from typing import Any

from cornellead_core.settings._settings_error import SettingsError
from cornellead_core.settings._units import DURATION_HELP
from cornellead_core.settings._units import SIZE_HELP
from cornellead_core.settings._units import parse_duration
from cornellead_core.settings._units import parse_size

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.settings._yaml_tree import YamlNode

MIN_FLEET_KEY_CHARS = 16
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
NAME_HELP = "letters, digits, dot, hyphen and underscore"

_ZERO_ALLOWED_FIELDS = frozenset({"retry_ratio", "retry_min_per_s", "max_waiting", "join_grace_s"})
_ADDRESS_HELP = "ip:port such as 10.0.0.1:7100"


class Binder:
    """Binds a document to a `NamedTuple` type and collects all errors instead of only the first.

    Mapping keys are matched with the field names of the type.

    :param file: File name for error messages.
    """

    def __init__(self, *, file: str) -> None:
        self._file = file
        self.errors: list[SettingsError] = []

    def bind(self, node: YamlNode, cls: type[Any], path: str = "") -> Any:
        """Return an instance of ``cls``, or ``None`` if there were errors, which are in `errors`.

        :param path: Dotted path of the node in the document; empty for the root.
        """
        if not isinstance(node.value, dict):
            return self._add_error(node.line, path, "expected a mapping", ", ".join(cls._fields))
        hints = typing.get_type_hints(cls)
        errors_before = len(self.errors)
        for key, child in node.value.items():
            if key not in hints:
                self._add_error(
                    child.line, _join_path(path, key), "unknown key", ", ".join(cls._fields)
                )
        values = {}
        for field in cls._fields:
            value_path = _join_path(path, field)
            child_node = node.value.get(field)
            if child_node is not None:
                values[field] = self._bind_value(child_node, hints[field], field, value_path)
            elif field not in cls._field_defaults:
                self._add_error(
                    node.line, value_path, "missing", _describe_accepted(hints[field], field)
                )
        return cls(**values) if len(self.errors) == errors_before else None

    def _bind_value(self, node: YamlNode, hint: Any, field: str, path: str) -> Any:
        if hasattr(hint, "_fields"):
            return self.bind(node, hint, path)
        if hint == tuple[str, ...]:
            return self._bind_name_list(node, path)
        if isinstance(node.value, dict | list):
            return self._add_error(
                node.line, path, "expected a single value", _describe_accepted(hint, field)
            )
        value, message = _convert_value(node.value, hint, field)
        return (
            self._add_error(node.line, path, message, _describe_accepted(hint, field))
            if message
            else value
        )

    def _bind_name_list(self, node: YamlNode, path: str) -> tuple[str, ...]:
        if not isinstance(node.value, list):
            self._add_error(node.line, path, "expected a list", "a list of names")
            return ()
        for index, item in enumerate(node.value):
            if not isinstance(item.value, str) or not NAME_PATTERN.fullmatch(item.value):
                self._add_error(item.line, f"{path}.{index}", "expected a name", NAME_HELP)
        return tuple(str(item.value) for item in node.value)

    def _add_error(self, line: int, path: str, message: str, accepted: str) -> None:
        self.errors.append(SettingsError(self._file, line, path, message, accepted))


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _is_duration(field: str) -> bool:
    return field.endswith("_s") and not field.endswith("_per_s")


def _convert_value(value: Any, hint: Any, field: str) -> tuple[Any, str]:
    """Return the converted value and an empty message, or ``None`` and an error message.

    The suffix of the field name decides how a number is read: ``_s`` is a duration, unless it ends
    with ``_per_s``, and ``_bytes`` is a size.
    """
    # The fleet key is a secret and must not appear in an error message.
    display_value = "the value" if field == "fleet_key" else repr(value)
    converted: Any
    if hint is str:
        converted = value if isinstance(value, str) and _is_valid_string(value, field) else None
    elif hint is bool:
        converted = value if isinstance(value, bool) else None
    elif _is_duration(field):
        converted = parse_duration(value)
    elif field.endswith("_bytes"):
        converted = parse_size(value)
    elif isinstance(value, bool) or not isinstance(value, int if hint is int else int | float):
        converted = None
    else:
        converted = hint(value)
    if converted is None:
        return None, f"{display_value} is not accepted"
    if isinstance(converted, float) and not math.isfinite(converted):
        return None, f"{display_value} is not a finite number"
    if hint in (int, float) and (
        converted < 0 or (converted == 0 and field not in _ZERO_ALLOWED_FIELDS)
    ):
        return None, f"{display_value} is too small"
    return converted, ""


def _is_valid_string(value: str, field: str) -> bool:
    validator = _STRING_VALIDATORS.get(field)
    return validator is None or validator(value)


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 65536


def _is_url(value: str) -> bool:
    return re.fullmatch(r"https?://[^\s/]+(/\S*)?", value) is not None


def _is_name(value: str) -> bool:
    return NAME_PATTERN.fullmatch(value) is not None


_STRING_VALIDATORS: dict[str, Callable[[str], bool]] = {
    "name": _is_name,
    "region": _is_name,
    "dc": _is_name,
    "http": _is_address,
    "control": _is_address,
    "platform_url": _is_url,
    "url": _is_url,
    "service": lambda value: value == "" or _is_name(value),
    "fleet_key": lambda value: len(value) >= MIN_FLEET_KEY_CHARS,
    "log_format": lambda value: value in ("json", "console"),
}
_STRING_HELP = {
    "name": NAME_HELP,
    "region": NAME_HELP,
    "dc": NAME_HELP,
    "http": _ADDRESS_HELP,
    "control": _ADDRESS_HELP,
    "platform_url": "a URL such as http://10.0.0.1:7000",
    "url": "a URL such as http://10.0.0.1:8000",
    "service": f"empty, or {NAME_HELP}",
    "fleet_key": f"at least {MIN_FLEET_KEY_CHARS} characters, in quotes",
    "log_format": "json, console",
}


def _describe_accepted(hint: Any, field: str) -> str:
    if hasattr(hint, "_fields"):
        return f"a mapping with {', '.join(hint._fields)}"
    if hint is str:
        return _STRING_HELP.get(field, "a string; put numbers in quotes")
    if hint is bool:
        return "true, false"
    if _is_duration(field):
        return DURATION_HELP
    if field.endswith("_bytes"):
        return SIZE_HELP
    minimum = "at least 0" if field in _ZERO_ALLOWED_FIELDS else "above 0"
    return f"a whole number {minimum}" if hint is int else f"a number {minimum}"
