"""``cornellead status``: show the state of data centres, servers, routers and gateways."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import httpx
from returns.result import Success

from cornellead.cli._config_history import ConfigHistory
from cornellead.cli._exit_code import ExitCode
from cornellead.cli._fleet_status import ProcessStatus
from cornellead.cli._fleet_status import cache_reuse
from cornellead.cli._fleet_status import collect_status
from cornellead.cli._fleet_status import sum_reported
from cornellead.cli._gateway_status import collect_gateway_status
from cornellead.cli._output import format_table
from cornellead.cli._output import print_errors
from cornellead.cli._output import print_json
from cornellead.cli._verb_flags import VerbFlags
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import HttpHostList
from cornellead_core.platform import HttpLogClient

if TYPE_CHECKING:
    from absl import flags

    from cornellead_core.config import ConfigState

MISSING = "-"
"""Cell of a value that is not reported."""


def run(argv: list[str]) -> int:
    """Fetch and print the status of the listed processes, or the metrics of gateways.

    :param argv: The verb and its flags.
    :returns: Exit code.
    """
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
    verb.add_platform_flags(required=False)
    verb.add_output_flag()
    verb.add_strings("host", "ip:port of a process to ask instead of the host list; repeatable")
    verb.add_strings("metrics", "ip:port of a gateway's metrics to show instead; repeatable")
    values = verb.parse(argv)
    if isinstance(values, ExitCode):
        return values
    if values.metrics:
        return asyncio.run(_run_gateways(values))
    if not values.platform and not values.host:
        return verb.usage_error("give --platform=URL, --host=IP:PORT or --metrics=IP:PORT")
    return asyncio.run(_run(values))


async def _run_gateways(values: flags.FlagValues) -> int:
    async with httpx.AsyncClient() as client:
        statuses = await collect_gateway_status(client, values.metrics, timeout_s=values.timeout)
    print_errors(status.error for status in statuses if status.error)
    rows = [status.to_row() for status in statuses]
    if values.output == "json":
        print_json({"gateways": rows})
    else:
        _print_rows(rows)
    return ExitCode.OK


async def _run(values: flags.FlagValues) -> int:
    async with httpx.AsyncClient() as client:
        hosts = [_make_unlisted_host(address) for address in values.host]
        state: ConfigState | None = None
        if not hosts:
            fetched = await HttpHostList(client=client, url=values.platform).fetch()
            if not isinstance(fetched, Success):
                message = fetched.failure().message
                print_errors([f"{message}; name processes to ask with --host=IP:PORT"])
                return ExitCode.UNAVAILABLE
            hosts = sorted(fetched.unwrap(), key=lambda host: (host.dc, host.name))
            history = ConfigHistory(log=HttpLogClient(client=client, url=values.platform))
            read = await history.refresh()
            if isinstance(read, Success):
                state = read.unwrap()._replace(offset=history.number(read.unwrap().offset))
            else:
                print_errors(["the log does not answer; offsets are those of the processes"])
        statuses = await collect_status(client, hosts, timeout_s=values.timeout)
    report = _build_report([_identify(status) for status in statuses], state)
    if values.output == "json":
        print_json(report)
    else:
        _print_tables(report)
    return ExitCode.OK


def _make_unlisted_host(address: str) -> HostEntry:
    return HostEntry(address, HostKind.AGENT, MISSING, MISSING, address, "")


def _identify(status: ProcessStatus) -> ProcessStatus:
    """Fill in name, kind and data centre of a process that was given by its address."""
    host, body = status.host, status.body
    if host.dc != MISSING or not status.answered:
        return status
    is_router = "server" not in body and "in_progress" in body
    name = body.get("name" if is_router else "server", host.name)
    kind = HostKind.ROUTER if is_router else HostKind.AGENT
    dc = str(body.get("dc", MISSING))
    return status._replace(host=host._replace(name=str(name), dc=dc, kind=kind))


def _build_report(statuses: list[ProcessStatus], state: ConfigState | None) -> dict[str, Any]:
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
    current = None if state is None else state.objects.get(f"data_centre/{dc}")
    value = None if current is None else current.value
    offsets = [
        int(n) for status in statuses if (n := status.get_number("config_offset")) is not None
    ]
    rates = [
        n for status in statuses if (n := status.get_number("control_bytes_per_s")) is not None
    ]
    return {
        "data_centre": dc,
        "state": None if state is None else (value or {}).get("state", "in"),
        "servers": len(servers),
        "servers_serving": sum(status.state == "serving" for status in servers),
        "routers": len(statuses) - len(servers),
        "no_answer": sum(not status.answered for status in statuses),
        "load": sum_reported(servers, "load"),
        "limit": sum_reported(servers, "limit"),
        "cache_reuse": cache_reuse(servers),
        "lowest_config_offset": min(offsets, default=None),
        "highest_control_bytes_per_s": max(rates, default=None),
    }


def _describe_server(status: ProcessStatus) -> dict[str, Any]:
    return {
        "server": status.host.name,
        "data_centre": status.host.dc,
        "service": status.host.service or None,
        "state": status.state,
        "load": status.get_number("load"),
        "limit": status.get_number("limit"),
        "cold_limit": status.get_number("cold_limit"),
        "cache_reuse": cache_reuse([status]),
        "config_offset": status.get_number("config_offset"),
        "control_bytes_per_s": status.get_number("control_bytes_per_s"),
    }


def _describe_router(status: ProcessStatus) -> dict[str, Any]:
    return {
        "router": status.host.name,
        "data_centre": status.host.dc,
        "state": status.state,
        "in_progress": status.get_number("in_progress"),
        "config_offset": status.get_number("config_offset"),
        "control_bytes_per_s": status.get_number("control_bytes_per_s"),
    }


def _print_tables(report: dict[str, Any]) -> None:
    offset = report["config_offset"]
    print(f"configuration on the log: offset {MISSING if offset is None else offset}")
    for rows in (report["data_centres"], report["servers"], report["routers"]):
        if rows:
            print()
            _print_rows(rows)


def _print_rows(rows: list[dict[str, Any]]) -> None:
    keys = max(rows, key=len)
    header = [key.upper().replace("_", " ") for key in keys]
    print(format_table(header, [[_format_cell(key, row.get(key)) for key in keys] for row in rows]))


def _format_cell(key: str, value: Any) -> str:
    if value is None:
        return MISSING
    if key == "cache_reuse":
        return f"{value:.0%}"
    return f"{value:g}" if isinstance(value, float) else str(value)
