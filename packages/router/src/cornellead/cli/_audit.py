"""``cornellead audit``: show the configuration changes and the decisions on them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import httpx
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.cli._config_history import ConfigHistory
from cornellead.cli._exit_code import ExitCode
from cornellead.cli._output import format_table
from cornellead.cli._output import print_errors
from cornellead.cli._output import print_json
from cornellead.cli._verb_flags import VerbFlags
from cornellead_core.platform import HttpLogClient

if TYPE_CHECKING:
    from absl import flags

    from cornellead.cli._config_history import DecidedChange
    from cornellead_core.platform import PlatformError

DEFAULT_LIMIT = 50
MAX_TABLE_OBJECTS = 4
"""Maximum number of objects per change in the table; the JSON output has all of them."""


def run(argv: list[str]) -> int:
    """Print the accepted and rejected changes that the log still holds.

    :param argv: The verb and its flags.
    :returns: Exit code.
    """
    verb = VerbFlags(
        "audit",
        usage="[flags]",
        summary="Shows who changed what from which version, and why a change was rejected.",
        examples=["audit", "audit --object=team/imigongo --limit=5", "audit --rejected"],
        notes="Changes older than the log's retention are no longer shown.",
    )
    verb.add_platform_flags()
    verb.add_output_flag()
    verb.add_integer("from", 0, "first offset to show")
    verb.add_integer("limit", DEFAULT_LIMIT, "number of latest changes to show")
    verb.add_string("object", None, "show only changes of this object, such as team/imigongo")
    verb.add_string("by", None, "show only changes of this author")
    verb.add_switch("rejected", "show only rejected changes")
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    read = asyncio.run(_read_changes(values.platform))
    if not isinstance(read, Success):
        print_errors([read.failure().message])
        return ExitCode.UNAVAILABLE
    selected = [item for item in read.unwrap() if _matches(item, values)]
    selected = selected[-values.limit :] if values.limit > 0 else selected
    if values.output == "json":
        print_json(
            [
                {**item.audit._asdict(), "values": item.record.value.get("objects")}
                for item in selected
            ]
        )
    else:
        print(_format(selected))
    return ExitCode.OK


async def _read_changes(url: str) -> Result[list[DecidedChange], PlatformError]:
    async with httpx.AsyncClient() as client:
        history = ConfigHistory(log=HttpLogClient(client=client, url=url))
        read = await history.refresh()
        return (
            Success(history.decided_changes)
            if isinstance(read, Success)
            else Failure(read.failure())
        )


def _matches(item: DecidedChange, values: flags.FlagValues) -> bool:
    audit = item.audit
    return (
        audit.offset >= int(values["from"].value or 0)
        and (values.object is None or values.object in audit.objects)
        and (values.by is None or values.by == audit.author)
        and not (values.rejected and audit.accepted)
    )


def _format(changes: list[DecidedChange]) -> str:
    rows = []
    for item in changes:
        audit = item.audit
        time_text = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(audit.time_ms / 1000))
        versions = [*audit.previous, *[None] * len(audit.objects)]
        described = list(map(_describe_object, audit.objects, versions))
        names = ", ".join(described[:MAX_TABLE_OBJECTS])
        if len(described) > MAX_TABLE_OBJECTS:
            names += f" and {len(described) - MAX_TABLE_OBJECTS} more"
        decision = "accepted" if audit.accepted else f"rejected: {audit.reason}"
        rows.append([audit.offset, time_text, audit.author, audit.base, names, decision])
    return format_table(["OFFSET", "TIME", "AUTHOR", "BASE", "OBJECTS", "DECISION"], rows)


def _describe_object(name: str, previous: int | None) -> str:
    if previous is None:
        return name
    return f"{name} (new)" if previous < 0 else f"{name} (from {previous})"
