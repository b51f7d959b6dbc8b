"""``cornellead validate``: check configuration files."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead.cli._exit_code import ExitCode
from cornellead.cli._output import print_errors
from cornellead.cli._output import print_json
from cornellead.cli._read_state import read_state
from cornellead.cli._verb_flags import VerbFlags
from cornellead_core.config import check_documents
from cornellead_core.config import load_documents

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornellead_core.config import ConfigObject
    from cornellead_core.settings import SettingsError

FILE_FORMAT_HELP = """\
A file holds YAML documents, each with kind, name and:
  model        description
  data_centre  state (in, out)
  server       state (serving, draining), models, adapters, version, role
  template     parameters (name: default, null if every team must give it) and spec: models,
               priorities {default, allowed}, limits {requests_per_second, concurrent_requests},
               load_bound, services {NAME: {idempotent, at_most_once}}, key_validity
  team         template, parameters, token_sha256 (one or a list)
In a spec, ${name} stands for the value of a parameter."""


def run(argv: list[str]) -> int:
    """Check files and print every error with file, line, path and accepted values.

    :param argv: The verb, its flags, and files or directories.
    :returns: Exit code.
    """
    verb = VerbFlags(
        "validate",
        usage="[flags] FILE_OR_DIRECTORY...",
        summary="Checks configuration files and publishes nothing. Objects that are referred to "
        "must be in\nthe files, or with --platform in the files or the fleet.",
        notes=FILE_FORMAT_HELP,
        examples=["validate teams/", "validate --platform=http://10.0.0.1:7000 new-team.yaml"],
    )
    verb.add_platform_flags(required=False)
    verb.add_output_flag()
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    if not verb.arguments:
        return verb.usage_error("name a file or a directory")
    objects: Mapping[str, ConfigObject] = {}
    if values.platform:
        read = asyncio.run(read_state(values.platform))
        if not isinstance(read, Success):
            print_errors([f"{read.failure().message}; omit --platform to check files alone"])
            return ExitCode.UNAVAILABLE
        objects = read.unwrap().objects
    loaded = load_documents(verb.arguments)
    if not isinstance(loaded, Success):
        return _print_result(loaded.failure(), 0, as_json=values.output == "json")
    documents = loaded.unwrap()
    errors = check_documents(documents, objects)
    return _print_result(errors, len(documents), as_json=values.output == "json")


def _print_result(errors: list[SettingsError], count: int, *, as_json: bool) -> int:
    if as_json:
        print_json({"valid": not errors, "errors": [error._asdict() for error in errors]})
    elif errors:
        print_errors(errors)
    else:
        print(f"valid: {count} objects")
    return ExitCode.FAILED if errors else ExitCode.OK
