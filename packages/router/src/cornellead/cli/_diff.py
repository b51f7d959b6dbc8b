"""``cornellead diff``: compare configuration files with the fleet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from returns.result import Success

from cornellead.cli._exit_code import ExitCode
from cornellead.cli._output import print_errors
from cornellead.cli._output import print_json
from cornellead.cli._read_state import read_state
from cornellead.cli._verb_flags import VerbFlags
from cornellead_core.config import load_documents

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornellead_core.config import ConfigState
    from cornellead_core.config import Document

ABSENT = "(absent)"


class Difference(NamedTuple):
    """One value that differs between files and fleet; its fields are keys of the JSON output."""

    object: str
    path: str
    """Keys joined by dots; empty for the whole object."""
    fleet: Any
    files: Any
    version: int
    """Version of the object in the fleet, or -1 if the fleet has no such object."""


def run(argv: list[str]) -> int:
    """Print the values that differ between files and fleet.

    :param argv: The verb, its flags, and files or directories.
    :returns: Exit code.
    """
    verb = VerbFlags(
        "diff",
        usage="[flags] FILE_OR_DIRECTORY...",
        summary="Compares configuration files with the configuration in force. Objects that are "
        "only in\nthe fleet are left out unless --all is given.",
        examples=["diff teams/", "diff --all --output=json fleet/"],
    )
    verb.add_platform_flags()
    verb.add_output_flag()
    verb.add_switch("all", "show objects that are only in the fleet, too")
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    if not verb.arguments:
        return verb.usage_error("name a file or a directory")
    loaded = load_documents(verb.arguments)
    if not isinstance(loaded, Success):
        print_errors(loaded.failure())
        return ExitCode.FAILED
    read = asyncio.run(read_state(values.platform))
    if not isinstance(read, Success):
        print_errors([read.failure().message])
        return ExitCode.UNAVAILABLE
    state = read.unwrap()
    differences = find_differences(state, loaded.unwrap(), show_all=values.all)
    if values.output == "json":
        print_json({"base": state.offset, "differences": [item._asdict() for item in differences]})
    else:
        print_differences(differences)
        prefix = "" if differences else "no differences; "
        print(f"{prefix}compared with offset {state.offset} (publish with --base={state.offset})")
    return ExitCode.DIFFERENT if differences else ExitCode.OK


def print_differences(differences: Iterable[Difference]) -> None:
    """Print differences, one per line."""
    for item in differences:
        location = f"{item.object}: {item.path}" if item.path else item.object
        print(f"{location}: {_format(item.fleet)} -> {_format(item.files)}")


def find_differences(
    state: ConfigState, documents: list[Document], *, show_all: bool
) -> list[Difference]:
    """Compare the objects of files with a state of the configuration.

    :param show_all: Whether to include objects that only the state has.
    """
    differences = []
    for document in sorted(documents, key=lambda item: item.name):
        current = state.objects.get(document.name)
        version = -1 if current is None else current.version
        value = None if current is None else current.value
        for path, fleet, files in _compare(ABSENT if value is None else value, document.value, ""):
            differences.append(Difference(document.name, path, fleet, files, version))
    names = {document.name for document in documents}
    for name, item in sorted(state.objects.items()) if show_all else []:
        if name not in names and item.value is not None:
            differences.append(Difference(name, "", item.value, ABSENT, item.version))
    return differences


def _compare(old: Any, new: Any, path: str) -> Iterable[tuple[str, Any, Any]]:
    """Yield path, old and new value of the deepest values that differ in nested dictionaries."""
    if old == new and type(old) is type(new):
        return
    if not isinstance(old, dict) or not isinstance(new, dict):
        yield path, old, new
        return
    for key in sorted({*old, *new}):
        child_path = f"{path}.{key}" if path else key
        yield from _compare(old.get(key, ABSENT), new.get(key, ABSENT), child_path)


def _format(value: Any) -> str:
    return value if value == ABSENT else repr(value)
