"""``cornellead explain``: show what happened to a request, from the logs of gateways."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cornellead.cli._exit_code import ExitCode
from cornellead.cli._verb_flags import VerbFlags
from cornellead_core.decoding import UNREADABLE

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

BACKGROUND_EVENTS = frozenset(
    {
        "configuration in force",
        "data centre changed",
        "planned stop",
        "process was paused",
        "started",
        "store back",
        "store lost",
    }
)
"""Log events that affect all requests of the process that logged them."""
MAX_BACKGROUND_EVENTS = 8
"""Maximum number of background events to show; the latest ones are kept."""

LogLine = dict[str, Any]


def run(argv: list[str]) -> int:
    """Print the log lines that explain one request.

    :param argv: The verb, its flags and the log files.
    :returns: Exit code.
    """
    verb = VerbFlags(
        "explain",
        usage="--request=ID FILE...",
        summary="Shows what happened to a request, from the logs of gateways.",
        examples=["explain --request=9c41d07be2a35f68 kgl-a-1.log kgl-a-2.log"],
        notes="Text before the JSON object of a line is ignored.",
    )
    verb.add_string("request", None, "id of the request")
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    if values.request is None or not verb.arguments:
        return verb.usage_error("give the id of a request and at least one file")
    try:
        lines = [line for file in verb.arguments for line in read_log(Path(file))]
    except OSError as exc:
        print(f"cannot read {exc.filename}: {exc.strerror}", file=sys.stderr)
        return ExitCode.USAGE
    text = explain(values.request, lines)
    if not text:
        print(f"request {values.request} is in none of the files", file=sys.stderr)
        return ExitCode.FAILED
    print("\n".join(text))
    return ExitCode.OK


def read_log(path: Path) -> Iterator[LogLine]:
    """Yield the log events of a file.

    Text before the JSON object of a line, such as the prefix of a log collector, is ignored. Lines
    without a complete JSON object are skipped.
    """
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            start = text.find("{")
            if start < 0:
                continue
            try:
                line = msgspec.json.decode(text[start:])
            except UNREADABLE:
                continue
            if isinstance(line, dict) and "event" in line:
                yield line


def explain(request: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the log lines of a request and the earlier events of its process that explain it.

    These are events of the servers that the request was sent to, and background events.

    >>> lines = [
    ...     {"event": "server ended", "server": "s1", "cause": "removed"},
    ...     {"event": "request", "request": "7f", "attempts": ["s1:no_response"], "status": 502},
    ... ]
    >>> explain("7f", lines)[-1].strip()
    'server ended: cause=removed server=s1'
    """
    ordered = sorted(lines, key=lambda line: str(line.get("timestamp", "")))
    own = [line for line in ordered if line.get("request") == request]
    text = [_format(line) for line in own]
    for line in own:
        earlier = [
            other
            for other in ordered
            if other.get("process") == line.get("process")
            and str(other.get("timestamp", "")) <= str(line.get("timestamp", ""))
        ]
        servers = {str(attempt).partition(":")[0] for attempt in line.get("attempts", ())}
        about_servers = [other for other in earlier if other.get("server") in servers]
        background = [other for other in earlier if other["event"] in BACKGROUND_EVENTS]
        if about_servers:
            text += ["", "earlier events of these servers at this router:"]
            text += [_format(other) for other in about_servers]
        if background:
            text += ["", "other earlier events at this router:"]
            text += [_format(other) for other in background[-MAX_BACKGROUND_EVENTS:]]
    return text


def _format(line: LogLine) -> str:
    excluded_keys = {"event", "timestamp", "process", "level"}
    fields = " ".join(f"{key}={line[key]}" for key in sorted(line) if key not in excluded_keys)
    return f"{line.get('timestamp', '')}  {line.get('process', '')}  {line['event']}: {fields}"
