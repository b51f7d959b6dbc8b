"""``cornellead status``: show data centres, servers and routers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import httpx
from returns.result import Success

from cornellead.cli._config_history import ConfigHistory
from cornellead.cli._exit_code import ExitCode
from cornellead.cli._fleet_status import ProcessStatus
from cornellead.cli._fleet_status import collect_status
from cornellead.cli._fleet_status import reuse
from cornellead.cli._fleet_status import total
from cornellead.cli._gateway_status import collect_gateways
from cornellead.cli._output import format_table
from cornellead.cli._output import print_errors
from cornellead.cli._output import print_json
from cornellead.cli._verb_flags import VerbFlags
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import HttpHostList
from cornellead_core.platform import HttpLog

if TYPE_CHECKING:
    from absl import flags

    from cornellead_core.config import ConfigState

MISSING = "-"


def run(argv: list[str]) -> int:
    """Ask every process of the host list and print what it reports."""
    verb = VerbFlags(
        "status",
        usage="[flags]",
        summary="Shows for data centres, servers and routers: state, load against its limit, cold "
        "limit,\ncache reuse, configuration offset and control bytes a second.",
        examples=[
            "status",
            "status --output=json",
            "status --host=10.0.1.5:7100",
            "status --metrics=10.0.1.5:9464",
        ],
        notes="A value that a process does not report is shown as -. Processes that do not answer "
        "are\nlisted and do not change the exit code.",
    )
    verb.platform(required=False)
    verb.output()
    verb.strings("host", "ip:port of a process to ask instead of the host list; repeatable")
    verb.strings("metrics", "ip:port of a gateway's metrics to show instead; repeatable")
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    if values.metrics:
        return asyncio.run(_run_gateways(values))
    if not values.platform and not values.host:
        return verb.fail("give --platform=URL, --host=IP:PORT or --metrics=IP:PORT")
    return asyncio.run(_run(values))


async def _run_gateways(values: flags.FlagValues) -> int:
    async with httpx.AsyncClient() as client:
        found = await collect_gateways(client, values.metrics, timeout_s=values.timeout)
    print_errors(status.problem for status in found if status.problem)
    rows = [status.describe() for status in found]
    if values.output == "json":
        print_json({"gateways": rows})
    else:
        _print_rows(rows)
    return ExitCode.OK


async def _run(values: flags.FlagValues) -> int:
    async with httpx.AsyncClient() as client:
        hosts = [_unlisted(address) for address in values.host]
        state: ConfigState | None = None
        if not hosts:
            fetched = await HttpHostList(client=client, url=values.platform).fetch()
            if not isinstance(fetched, Success):
                message = fetched.failure().message
                print_errors([f"{message}; name processes to ask with --host=IP:PORT"])
                return ExitCode.UNAVAILABLE
            hosts = sorted(fetched.unwrap(), key=lambda host: (host.dc, host.name))
            history = ConfigHistory(log=HttpLog(client=client, url=values.platform))
            read = await history.refresh()
            state = read.unwrap() if isinstance(read, Success) else None
            if state is None:
                print_errors(["the log does not answer; offsets are those of the processes"])
        statuses = await collect_status(client, hosts, timeout_s=values.timeout)
    report = _report([_name(status) for status in statuses], state)
    if values.output == "json":
        print_json(report)
    else:
        _print_tables(report)
    return ExitCode.OK


def _unlisted(address: str) -> HostEntry:
    return HostEntry(address, HostKind.AGENT, MISSING, MISSING, address, "")


def _name(status: ProcessStatus) -> ProcessStatus:
    """Complete the entry of a host that was asked by its address."""
    host, body = status.host, status.body
    if host.dc != MISSING or not status.answered:
        return status
    is_router = "server" not in body and "in_progress" in body
    name = body.get("name" if is_router else "server", host.name)
    kind = HostKind.ROUTER if is_router else HostKind.AGENT
    dc = str(body.get("dc", MISSING))
    return status._replace(host=host._replace(name=str(name), dc=dc, kind=kind))


def _report(statuses: list[ProcessStatus], state: ConfigState | None) -> dict[str, Any]:
    servers = [status for status in statuses if status.is_server]
    routers = [status for status in statuses if not status.is_server]
    return {
        "config_offset": None if state is None else state.offset,
        "data_centres": [
            _describe_dc(dc, [status for status in statuses if status.host.dc == dc], state)
            for dc in sorted({status.host.dc for status in statuses})
        ],
        "servers": [_describe_server(status) for status in servers],
        "routers": [_describe_router(status) for status in routers],
    }


def _describe_dc(
    dc: str, statuses: list[ProcessStatus], state: ConfigState | None
) -> dict[str, Any]:
    servers = [status for status in statuses if status.is_server]
    known = None if state is None else state.objects.get(f"data_centre/{dc}")
    value = None if known is None else known.value
    offsets = [int(n) for status in statuses if (n := status.number("config_offset")) is not None]
    rates = [n for status in statuses if (n := status.number("control_bytes_per_s")) is not None]
    return {
        "data_centre": dc,
        "state": None if state is None else (value or {}).get("state", "in"),
        "servers": len(servers),
        "servers_serving": sum(status.state == "serving" for status in servers),
        "routers": len(statuses) - len(servers),
        "no_answer": sum(not status.answered for status in statuses),
        "load": total(servers, "load"),
        "limit": total(servers, "limit"),
        "cache_reuse": reuse(servers),
        "lowest_config_offset": min(offsets, default=None),
        "highest_control_bytes_per_s": max(rates, default=None),
    }


def _describe_server(status: ProcessStatus) -> dict[str, Any]:
    return {
        "server": status.host.name,
        "data_centre": status.host.dc,
        "service": status.host.service or None,
        "state": status.state,
        "load": status.number("load"),
        "limit": status.number("limit"),
        "cold_limit": status.number("cold_limit"),
        "cache_reuse": reuse([status]),
        "config_offset": status.number("config_offset"),
        "control_bytes_per_s": status.number("control_bytes_per_s"),
    }


def _describe_router(status: ProcessStatus) -> dict[str, Any]:
    return {
        "router": status.host.name,
        "data_centre": status.host.dc,
        "state": status.state,
        "in_progress": status.number("in_progress"),
        "config_offset": status.number("config_offset"),
        "control_bytes_per_s": status.number("control_bytes_per_s"),
    }


def _print_tables(report: dict[str, Any]) -> None:
    offset = report["config_offset"]
    print(f"configuration on the log: offset {MISSING if offset is None else offset}")
    for rows in (report["data_centres"], report["servers"], report["routers"]):
        if rows:
            print()
            _print_rows(rows)


def _print_rows(rows: list[dict[str, Any]]) -> None:
    header = [key.upper().replace("_", " ") for key in rows[0]]
    print(format_table(header, [[_cell(*cell) for cell in row.items()] for row in rows]))


def _cell(key: str, value: Any) -> str:
    if value is None:
        return MISSING
    if key == "cache_reuse":
        return f"{value:.0%}"
    return f"{value:g}" if isinstance(value, float) else str(value)
