"""``cornellead publish``: publish configuration files."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from returns.result import Success

from cornellead.cli._change import ChangePlan
from cornellead.cli._change import run_change
from cornellead.cli._exit_code import ExitCode
from cornellead.cli._output import print_errors
from cornellead.cli._verb_flags import VerbFlags
from cornellead_core.config import check_documents
from cornellead_core.config import load_documents
from cornellead_core.config import split_name

if TYPE_CHECKING:
    from cornellead_core.config import ConfigState
    from cornellead_core.config import Document


def run(argv: list[str]) -> int:
    """Publish the objects that differ from the fleet and print whether the change was accepted.

    :param argv: The verb, its flags, and files or directories.
    :returns: Exit code.
    """
    verb = VerbFlags(
        "publish",
        usage="[flags] FILE_OR_DIRECTORY...",
        summary="Checks the files, publishes the objects that differ from the fleet as one change, "
        "and\nreports whether the change was accepted.",
        examples=[
            "publish --platform=http://10.0.0.1:7000 teams/",
            "publish --wait --base=118 teams/imigongo.yaml",
            "publish --delete=team/imigongo",
        ],
        notes="A change is rejected if one of its objects was changed after the base. Unknown "
        "(code 4)\nmeans that the log did not confirm the change.",
    )
    verb.add_change_flags()
    verb.add_integer("base", None, "offset that the files are based on; by default the current one")
    verb.add_strings("delete", "name such as team/imigongo of an object to delete; repeatable")
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    deleted = list(values.delete)
    if not verb.arguments and not deleted:
        return verb.usage_error("name a file or a directory, or use --delete")
    malformed = [name for name in deleted if split_name(name) is None]
    if malformed:
        return verb.usage_error(f"--delete={malformed[0]}: use <kind>/<name>")
    loaded = load_documents(verb.arguments)
    if not isinstance(loaded, Success):
        print_errors(loaded.failure())
        return ExitCode.FAILED
    documents = loaded.unwrap()

    def plan(state: ConfigState) -> ChangePlan:
        return _plan(state, documents, deleted)

    return asyncio.run(run_change(values, plan, base=values.base))


def _plan(state: ConfigState, documents: list[Document], deleted: list[str]) -> ChangePlan:
    """Select the documents that differ from the state and the deletions of objects that exist."""

    def current_value(name: str) -> dict[str, Any] | None:
        current = state.objects.get(name)
        return None if current is None else current.value

    changed = [item for item in documents if current_value(item.name) != item.value]
    removed = [name for name in deleted if current_value(name) is not None]
    errors = check_documents(changed, state.objects, deleted=removed)
    objects: dict[str, dict[str, Any] | None] = {item.name: item.value for item in changed}
    return ChangePlan({**objects, **dict.fromkeys(removed)}, [str(error) for error in errors])
