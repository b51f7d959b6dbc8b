"""``cornellead check``: find errors in configuration files, and entries without effect."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead.cli._diff import find_differences
from cornellead.cli._diff import print_differences
from cornellead.cli._exit_code import ExitCode
from cornellead.cli._output import print_errors
from cornellead.cli._output import print_json
from cornellead.cli._read_state import read_state
from cornellead.cli._validate import FILE_FORMAT_HELP
from cornellead.cli._verb_flags import VerbFlags
from cornellead_core.config import ConfigState
from cornellead_core.config import check_files
from cornellead_core.config import read_files

if TYPE_CHECKING:
    from cornellead.cli._diff import Difference
    from cornellead_core.config import CheckReport

CANNOT_READ = ExitCode.USAGE
EXIT_CODE_HELP = """\
This verb ends with 0 if there are no findings, 1 if there are, and 2 if a file, the node file or
the platform cannot be read. Differences from the version in force are shown and are no findings."""
ROUTES_HELP = """\
A document with routes is a routing configuration, as YAML or JSON. With --node, the file of a
gateway's settings, its retries are compared with the retry budget."""


def run(argv: list[str]) -> int:
    """Check files and print every finding with file, line, field and kind.

    :param argv: The verb, its flags, and files or directories.
    :returns: 0, 1 if there are findings, 2 if something cannot be read.
    """
    verb = VerbFlags(
        "check",
        usage="[flags] FILE_OR_DIRECTORY...",
        summary="Finds errors, entries that no request can match, and limits that contradict each "
        "other.\nWith --platform it also shows what differs from the version in force. Publishes "
        "nothing.",
        notes=f"{EXIT_CODE_HELP}\n\n{ROUTES_HELP}\n\n{FILE_FORMAT_HELP}",
        examples=["check teams/", "check --platform=http://10.0.0.1:7000 new-team.yaml"],
    )
    verb.add_platform_flags(required=False)
    verb.add_output_flag()
    verb.add_string("node", None, "settings file of a gateway, for its retry budget")
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    if not verb.arguments:
        return verb.usage_error("name a file or a directory")
    # Also imports the gateway's messages, which other verbs don't need.
    from cornellead_platform import RoutingFormat
    from cornellead_platform import load_node_settings

    bounds = None
    if values.node:
        node = load_node_settings(values.node)
        if not isinstance(node, Success):
            print_errors([node.failure()])
            return CANNOT_READ
        bounds = node.unwrap().bounds
    state: ConfigState | None = None
    if values.platform:
        read = asyncio.run(read_state(values.platform))
        if not isinstance(read, Success):
            print_errors([f"{read.failure().message}; use --platform= to check files alone"])
            return CANNOT_READ
        state = read.unwrap()
    files = read_files(verb.arguments)
    objects = {} if state is None else state.objects
    report = check_files(files, objects=objects, decoder=RoutingFormat(), bounds=bounds)
    differences = (
        []
        if state is None or report.has_errors
        else find_differences(state, report.documents, show_all=False)
    )
    _print_report(report, differences, compared=state, as_json=values.output == "json")
    print_errors(files.unreadable)
    if files.unreadable:
        return CANNOT_READ
    return ExitCode.FAILED if report.findings else ExitCode.OK


def _print_report(
    report: CheckReport,
    differences: list[Difference],
    *,
    compared: ConfigState | None,
    as_json: bool,
) -> None:
    if as_json:
        content = {
            "findings": [item._asdict() for item in report.findings],
            "base": None if compared is None else compared.offset,
            "differences": [item._asdict() for item in differences],
        }
        print_json(content)
        return
    for item in report.findings:
        print(item)
    print_differences(differences)
    print(
        f"{len(report.findings)} findings in {len(report.documents)} objects and "
        f"{report.routings} routing configurations"
    )
    if compared is not None and not report.has_errors:
        print(
            f"{len(differences)} differences from the version in force (offset {compared.offset})"
        )
