"""``cornellead audit``: show who changed what."""

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
from cornellead_core.platform import HttpLog

if TYPE_CHECKING:
    from absl import flags

    from cornellead.cli._config_history import Decided
    from cornellead_core.platform import PlatformError

DEFAULT_LIMIT = 50


TABLE_OBJECTS = 4
"""Objects of a change that the table names; the JSON output names all."""


def run(argv: list[str]) -> int:
    """Print the decisions on the changes that the log still holds."""
    verb = VerbFlags(
        "audit",
        usage="[flags]",
        summary="Shows who changed what from which version, and why a change was rejected.",
        examples=["audit", "audit --object=team/imigongo --limit=5", "audit --rejected"],
        notes="Changes older than the log's retention are no longer shown.",
    )
    verb.platform()
    verb.output()
    verb.integer("from", 0, "first offset to show")
    verb.integer("limit", DEFAULT_LIMIT, "number of latest changes to show")
    verb.string("object", None, "show only changes of this object, such as team/imigongo")
    verb.string("by", None, "show only changes of this author")
    verb.switch("rejected", "show only rejected changes")
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    read = asyncio.run(_read(values.platform))
    if not isinstance(read, Success):
        print_errors([read.failure().message])
        return ExitCode.UNAVAILABLE
    chosen = [item for item in read.unwrap() if _matches(item, values)]
    chosen = chosen[-values.limit :] if values.limit > 0 else chosen
    if values.output == "json":
        print_json(
            [
                {**item.audit._asdict(), "values": item.record.value.get("objects")}
                for item in chosen
            ]
        )
    else:
        print(_format(chosen))
    return ExitCode.OK


async def _read(url: str) -> Result[list[Decided], PlatformError]:
    async with httpx.AsyncClient() as client:
        history = ConfigHistory(log=HttpLog(client=client, url=url))
        read = await history.refresh()
        return Success(history.decided) if isinstance(read, Success) else Failure(read.failure())


def _matches(item: Decided, values: flags.FlagValues) -> bool:
    audit = item.audit
    return (
        audit.offset >= int(values["from"].value or 0)
        and (values.object is None or values.object in audit.objects)
        and (values.by is None or values.by == audit.author)
        and not (values.rejected and audit.accepted)
    )


def _format(chosen: list[Decided]) -> str:
    rows = []
    for item in chosen:
        audit = item.audit
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(audit.time_ms / 1000))
        versions = [*audit.previous, *[None] * len(audit.objects)]
        described = list(map(_describe, audit.objects, versions))
        names = ", ".join(described[:TABLE_OBJECTS])
        if len(described) > TABLE_OBJECTS:
            names += f" and {len(described) - TABLE_OBJECTS} more"
        decision = "accepted" if audit.accepted else f"rejected: {audit.reason}"
        rows.append([audit.offset, at, audit.author, audit.base, names, decision])
    return format_table(["OFFSET", "TIME", "AUTHOR", "BASE", "OBJECTS", "DECISION"], rows)


def _describe(name: str, previous: int | None) -> str:
    if previous is None:
        return name
    return f"{name} (new)" if previous < 0 else f"{name} (from {previous})"
