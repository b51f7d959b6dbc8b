"""Steps shared by the verbs that change the configuration: plan, publish, wait and print."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import httpx
from returns.result import Success

from cornellead.cli._config_history import ConfigHistory
from cornellead.cli._exit_code import ExitCode
from cornellead.cli._fleet_status import wait_until_in_force
from cornellead.cli._output import print_errors
from cornellead.cli._output import print_json
from cornellead.cli._publisher import Publisher
from cornellead_core.platform import HttpLogClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from absl import flags

    from cornellead_core.config import AuditRecord
    from cornellead_core.config import ConfigState


class ChangePlan(NamedTuple):
    """Objects to publish, or the errors that prevent it."""

    objects: dict[str, dict[str, Any] | None]
    """New value by object name; ``None`` deletes the object."""
    errors: list[str]


async def run_change(
    values: flags.FlagValues, plan: Callable[[ConfigState], ChangePlan], *, base: int | None = None
) -> int:
    """Plan a change against the current configuration, publish it and print the outcome.

    :param values: Parsed flags of a verb that uses `VerbFlags.add_change_flags`.
    :param plan: Returns the objects to publish, given the current configuration.
    :param base: Offset that the change is based on; the current one by default.
    :returns: Exit code.
    """
    async with httpx.AsyncClient() as client:
        log = HttpLogClient(client=client, url=values.platform)
        history = ConfigHistory(log=log)
        read = await history.refresh()
        if not isinstance(read, Success):
            print(f"{read.failure().message}; nothing was changed", file=sys.stderr)
            return ExitCode.UNAVAILABLE
        state = read.unwrap()
        objects, errors = plan(state)
        if errors:
            print_errors(errors)
            return ExitCode.FAILED
        if not objects:
            return _print_unchanged(state.offset, as_json=values.output == "json")
        behind: list[str] = []
        publisher = Publisher(log=log, history=history, timeout_s=values.timeout)
        outcome = await publisher.publish(
            objects, author=values.author, base=state.offset if base is None else base
        )
        if isinstance(outcome, Success) and outcome.unwrap().accepted and values.wait:
            behind = await wait_until_in_force(
                client,
                values.platform,
                history.number(outcome.unwrap().offset),
                timeout_s=values.timeout,
            )
    if not isinstance(outcome, Success):
        print(outcome.failure().message, file=sys.stderr)
        return outcome.failure().code
    audit = outcome.unwrap()
    if values.output == "json":
        print_json({**audit._asdict(), "behind": behind})
    else:
        _print_audit(audit)
    if behind:
        print(f"not yet confirmed by: {', '.join(behind)}", file=sys.stderr)
        return ExitCode.PENDING
    return ExitCode.OK if audit.accepted else ExitCode.FAILED


def _print_unchanged(offset: int, *, as_json: bool) -> int:
    if as_json:
        print_json({"offset": offset, "accepted": True, "objects": []})
    else:
        print(f"unchanged: the fleet already has this configuration (offset {offset})")
    return ExitCode.OK


def _print_audit(audit: AuditRecord) -> None:
    names = ", ".join(audit.objects)
    if audit.accepted:
        print(f"accepted at offset {audit.offset}: {names}")
        return
    print(f"rejected at offset {audit.offset}: {audit.reason}", file=sys.stderr)
    if audit.winner >= 0:
        print(
            f"version {audit.winner} is in force. See it with `cornellead audit "
            f"--from={audit.winner}`, compare with `cornellead diff`, bring the files up to date "
            "and publish them again.",
            file=sys.stderr,
        )
    else:
        print("correct the files and publish them again", file=sys.stderr)
