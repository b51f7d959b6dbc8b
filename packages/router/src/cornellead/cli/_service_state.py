"""Common part of the verbs ``drain`` and ``restore``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import httpx
from returns.result import Success

from cornellead.cli._change import ChangePlan
from cornellead.cli._change import run_change
from cornellead.cli._exit_code import ExitCode
from cornellead.cli._output import print_errors
from cornellead_core.platform import HostKind
from cornellead_core.platform import HttpHostList

if TYPE_CHECKING:
    from collections.abc import Sequence

    from absl import flags

    from cornellead.cli._verb_flags import VerbFlags
    from cornellead_core.config import ConfigState
    from cornellead_core.platform import HostEntry

_TARGET_KINDS = ("data_centre", "server", "router")
TARGET_HELP = "data_centre/NAME, server/NAME or router/NAME"


def run_service_state(
    argv: list[str], verb: VerbFlags, *, data_centre_state: str, server_state: str
) -> int:
    """Publish the wanted state of all targets on the command line as one change.

    :param argv: The verb, its flags and the targets.
    :param data_centre_state: Wanted state of the targets that are data centres.
    :param server_state: Wanted state of the targets that are servers or routers.
    :returns: Exit code.
    """
    verb.add_change_flags()
    verb.add_switch("force", "accept names that are not in the host list")
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    targets = [target.partition("/") for target in verb.arguments]
    if not targets or any(kind not in _TARGET_KINDS or not name for kind, _, name in targets):
        return verb.usage_error(f"name what to change as {TARGET_HELP}")
    names = [(kind, name) for kind, _, name in targets]

    def plan(state: ConfigState) -> ChangePlan:
        return _plan(state, names, data_centre_state=data_centre_state, server_state=server_state)

    return asyncio.run(_run(values, names, plan))


async def _run(values: flags.FlagValues, names: Sequence[tuple[str, str]], plan: Any) -> int:
    if not values.force:
        unknown = await _find_unknown_targets(values.platform, names)
        if unknown:
            print_errors(unknown)
            return ExitCode.FAILED
    return await run_change(values, plan)


def _plan(
    state: ConfigState,
    names: Sequence[tuple[str, str]],
    *,
    data_centre_state: str,
    server_state: str,
) -> ChangePlan:
    objects: dict[str, dict[str, Any] | None] = {}
    for kind, name in names:
        # Routers and servers share the namespace of the host list, so a router is configured by an
        # object of kind server.
        key = f"data_centre/{name}" if kind == "data_centre" else f"server/{name}"
        wanted_state = data_centre_state if kind == "data_centre" else server_state
        current = state.objects.get(key)
        value = (None if current is None else current.value) or {}
        default_state = "in" if kind == "data_centre" else "serving"
        if value.get("state", default_state) != wanted_state:
            objects[key] = {**value, "state": wanted_state}
    return ChangePlan(objects, [])


async def _find_unknown_targets(url: str, names: Sequence[tuple[str, str]]) -> list[str]:
    async with httpx.AsyncClient() as client:
        fetched = await HttpHostList(client=client, url=url).fetch()
    if not isinstance(fetched, Success):
        return [f"{fetched.failure().message}; use --force to continue without the host list"]
    hosts = fetched.unwrap()
    return [
        f"{kind}/{name}: not in the host list (accepted: {', '.join(_list_names(kind, hosts))}); "
        "use --force if it is about to join"
        for kind, name in names
        if name not in _list_names(kind, hosts)
    ]


def _list_names(kind: str, hosts: Sequence[HostEntry]) -> list[str]:
    if kind == "data_centre":
        return sorted({host.dc for host in hosts})
    host_kind = HostKind.ROUTER if kind == "router" else HostKind.AGENT
    return sorted(host.name for host in hosts if host.kind is host_kind)
