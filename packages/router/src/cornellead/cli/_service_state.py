"""What ``drain`` and ``restore`` share."""

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

_KINDS = ("data_centre", "server", "router")
TARGET_HELP = "data_centre/NAME, server/NAME or router/NAME"


def run_service_state(
    argv: list[str], verb: VerbFlags, *, data_centre_state: str, server_state: str
) -> int:
    """Change the state of the targets on the command line as one change."""
    verb.change()
    verb.switch("force", "accept names that are not in the host list")
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    targets = [target.partition("/") for target in verb.arguments]
    if not targets or any(kind not in _KINDS or not name for kind, _, name in targets):
        return verb.fail(f"name what to change as {TARGET_HELP}")
    names = [(kind, name) for kind, _, name in targets]

    def plan(state: ConfigState) -> ChangePlan:
        return _plan(state, names, data_centre_state=data_centre_state, server_state=server_state)

    return asyncio.run(_run(values, names, plan))


async def _run(values: flags.FlagValues, names: Sequence[tuple[str, str]], plan: Any) -> int:
    if not values.force:
        unknown = await _find_unknown(values.platform, names)
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
        # Routers and servers share one space of names, that of the host list.
        key = f"data_centre/{name}" if kind == "data_centre" else f"server/{name}"
        wanted = data_centre_state if kind == "data_centre" else server_state
        known = state.objects.get(key)
        value = (None if known is None else known.value) or {}
        default = "in" if kind == "data_centre" else "serving"
        if value.get("state", default) != wanted:
            objects[key] = {**value, "state": wanted}
    return ChangePlan(objects, [])


async def _find_unknown(url: str, names: Sequence[tuple[str, str]]) -> list[str]:
    async with httpx.AsyncClient() as client:
        fetched = await HttpHostList(client=client, url=url).fetch()
    if not isinstance(fetched, Success):
        return [f"{fetched.failure().message}; use --force to go on without the host list"]
    hosts = fetched.unwrap()
    return [
        f"{kind}/{name}: not in the host list (accepted: {', '.join(_known(kind, hosts))}); "
        "use --force if it is about to join"
        for kind, name in names
        if name not in _known(kind, hosts)
    ]


def _known(kind: str, hosts: Sequence[HostEntry]) -> list[str]:
    if kind == "data_centre":
        return sorted({host.dc for host in hosts})
    wanted = HostKind.ROUTER if kind == "router" else HostKind.AGENT
    return sorted(host.name for host in hosts if host.kind is wanted)
