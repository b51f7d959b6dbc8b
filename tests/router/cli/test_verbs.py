"""Verbs of the command line against the stand-in platform."""

from __future__ import annotations

import asyncio
from typing import Any

import httpx
import pytest
from tests.router.cli.conftest import FLEET
from tests.router.cli.conftest import URL
from tests.router.cli.conftest import CliRunner

from cornellead.cli._exit_code import ExitCode
from cornellead.cli._main import VERBS
from cornellead.gateway.stats import GatewayStats
from cornellead_core.config import ConfigState
from cornellead_core.config import make_snapshot
from cornellead_core.config import reduce_record
from cornellead_core.metrics import Metrics
from cornellead_core.platform import HttpLogClient
from cornellead_core.platform import LogRecord

ARGV_WITH_BAD_URL = ["audit", "--platform=10.0.0.1:7000"]
HOSTS = {
    "gpu-1": {"kind": "agent", "dc": "kg-1"},
    "gpu-2": {"kind": "agent", "dc": "kg-2"},
    "entry-1": {"kind": "router", "dc": "kg-1"},
}


def _register_hosts(cli: CliRunner) -> None:
    async def put_entries() -> None:
        async with httpx.AsyncClient() as client:
            for name, entry in HOSTS.items():
                entry = {**entry, "region": "r", "http": f"{name}:80", "control": f"{name}:81"}
                await client.put(f"{URL}/hosts/{name}", json=entry)

    asyncio.run(put_entries())


class _FaultyLogTransport(httpx.AsyncBaseTransport):
    """Forwards requests, but rejects the first appends to the log or loses the responses to them.

    :param lost_responses: Number of appends that are stored but whose response is lost.
    :param rejected_appends: Number of appends that are rejected with status 429.
    """

    def __init__(
        self, inner: httpx.AsyncBaseTransport, *, lost_responses: int = 0, rejected_appends: int = 0
    ) -> None:
        self._inner = inner
        self._lost_responses = lost_responses
        self._rejected_appends = rejected_appends
        self.appends = 0

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        if request.method != "POST":
            return await self._inner.handle_async_request(request)
        self.appends += 1
        if self.appends <= self._rejected_appends:
            return httpx.Response(429)
        response = await self._inner.handle_async_request(request)
        if self.appends <= self._lost_responses:
            raise httpx.ReadTimeout("response lost")
        return response


def test_publish_diff_and_audit_report_the_decision(cli: CliRunner) -> None:
    """The verbs must report a change as the fleet's reducer decides it.

    A file is published, published unchanged, and published with a new value.
    """
    file = cli.write(FLEET)
    assert cli.run("diff", file).exit_code == ExitCode.DIFFERENT
    published = cli.run("publish", "--author=ana", file)
    assert published.exit_code == ExitCode.OK
    assert published.stdout == "accepted at offset 0: model/m, team/a, template/t\n"
    assert "unchanged" in cli.run("publish", file).stdout
    assert cli.run("diff", file).exit_code == ExitCode.OK
    cli.write(FLEET.replace("rate: 10", "rate: 20"))
    changed = cli.run("diff", "--output=json", file)
    assert changed.exit_code == ExitCode.DIFFERENT
    assert changed.json["differences"] == [
        {
            "object": "template/t",
            "path": "parameters.rate",
            "fleet": 10,
            "files": 20,
            "version": 0,
        }
    ]
    published = cli.run("publish", "--author=ben", "--output=json", file)
    assert published.json["accepted"] and published.json["previous"] == [0]
    audit = cli.run("audit", "--output=json").json
    assert [(item["author"], item["accepted"]) for item in audit] == [("ana", True), ("ben", True)]
    assert len(cli.run("audit", "--by=ben").stdout.splitlines()) == 2


def test_rejected_change_names_the_winning_change_and_the_remedy(cli: CliRunner) -> None:
    """The error for a conflicting change must name the other change and the next step."""
    file = cli.write(FLEET)
    cli.run("publish", "--author=ana", file)
    cli.write(FLEET.replace("rate: 10", "rate: 20"))
    rejected = cli.run("publish", "--base=-1", file)
    assert rejected.exit_code == ExitCode.FAILED
    assert "template/t was changed by ana at version 0, after the base -1" in rejected.stderr
    assert (
        "cornellead audit --from=0" in rejected.stderr and "publish them again" in rejected.stderr
    )
    listed = cli.run("audit", "--rejected", "--object=template/t").stdout
    assert "rejected: template/t was changed by ana" in listed


def test_invalid_files_are_not_published(cli: CliRunner) -> None:
    """An invalid file must not reach the log; its error must have file, line and path."""
    file = cli.write(FLEET.replace("models: [m]", "models: [x]"))
    for verb in ("validate", "publish"):
        result = cli.run(verb, file)
        assert result.exit_code == ExitCode.FAILED
        expected = f"{file}:8: spec.models.0: model x does not exist (accepted: m)"
        assert expected in result.stderr
    assert cli.run("audit", "--output=json").json == []


def test_publish_and_audit_work_after_log_truncation(cli: CliRunner) -> None:
    """Verbs must work from a snapshot when the log has dropped its oldest records.

    The audit must still show the changes that are on the log, with the decisions of the snapshot.
    """
    cli.reset_platform(retention_records=3)
    for author in ("one", "two", "three"):
        file = cli.write(f"kind: model\nname: m\ndescription: {author}\n")
        assert cli.run("publish", f"--author={author}", file).exit_code == ExitCode.OK
    stale = cli.run("publish", "--author=old", "--base=0", cli.write("kind: model\nname: m"))
    assert stale.exit_code == ExitCode.FAILED

    async def append_snapshot() -> None:
        async with httpx.AsyncClient() as client:
            log = HttpLogClient(client=client, url=URL)
            state = ConfigState()
            for record in [*dropped, *(await log.read("config", from_offset=1)).unwrap().records]:
                state, _ = reduce_record(state, record)
            await log.append("config", [make_snapshot(state)])

    first = {"change_id": "0", "author": "one", "base": -1, "objects": {"model/m": {}}}
    dropped = [LogRecord(0, 0, {"kind": "change", **first})]
    asyncio.run(append_snapshot())
    audit = cli.run("audit", "--output=json").json
    assert [(item["offset"], item["accepted"]) for item in audit] == [(2, True), (3, False)]
    assert "changed by three at version 2" in audit[1]["reason"]
    added = cli.run("publish", cli.write("kind: model\nname: n\n"))
    assert added.stdout == "accepted at offset 5: model/n\n"


def test_validate_resolves_references_in_files_or_fleet(cli: CliRunner) -> None:
    """References must be looked up in the files and the fleet, or in the files alone on request."""
    cli.run("publish", cli.write(FLEET))
    team = FLEET.split("---\n")[2].replace("a" * 64, "b" * 64).replace("name: a", "name: b")
    file = cli.write(team, "team.yaml")
    assert cli.run("validate", file).exit_code == ExitCode.OK
    alone = cli.run("validate", "--platform=", "--output=json", file)
    assert alone.exit_code == ExitCode.FAILED
    assert alone.json["errors"][0]["path"] == "template"


def test_deletion_must_leave_no_references(cli: CliRunner) -> None:
    """An object must not be deleted while others refer to it; repeating a deletion is no error."""
    cli.run("publish", cli.write(FLEET))
    rejected = cli.run("publish", "--delete=template/t")
    assert rejected.exit_code == ExitCode.FAILED and "published team/a: template" in rejected.stderr
    assert cli.run("publish", "--delete=team/a", "--delete=template/t").exit_code == ExitCode.OK
    assert cli.run("publish", "--delete=team/a").exit_code == ExitCode.OK
    assert cli.run("publish", "--delete=a").exit_code == ExitCode.USAGE


def test_drain_and_restore_change_only_the_state(cli: CliRunner) -> None:
    """A drain must reject unknown targets and keep the other values of the objects it changes."""
    _register_hosts(cli)
    cli.run("publish", cli.write("kind: server\nname: gpu-1\nversion: v2\n"))
    assert cli.run("drain", "data_centre/kg-2", "server/gpu-1").exit_code == ExitCode.OK
    assert "unchanged" in cli.run("drain", "server/gpu-1").stdout
    assert cli.run("drain", "router/entry-1").exit_code == ExitCode.OK
    audit = cli.run("audit", "--output=json").json
    assert audit[1]["values"] == {
        "data_centre/kg-2": {"state": "out"},
        "server/gpu-1": {"version": "v2", "state": "draining"},
    }
    assert audit[2]["values"] == {"server/entry-1": {"state": "draining"}}
    status = cli.run("status", "--output=json").json
    assert [dc["state"] for dc in status["data_centres"]] == ["in", "out"]
    assert cli.run("restore", "data_centre/kg-2").exit_code == ExitCode.OK
    for target in ("server/gpu-9", "router/gpu-1", "data_centre/kg"):
        unknown = cli.run("drain", target)
        assert unknown.exit_code == ExitCode.FAILED and "accepted: " in unknown.stderr
    assert cli.run("drain", "--force", "server/gpu-9").exit_code == ExitCode.OK
    assert cli.run("drain", "gpu-1").exit_code == ExitCode.USAGE
    assert cli.run("drain").exit_code == ExitCode.USAGE


def test_lost_append_response_is_resolved_by_reading_the_log(cli: CliRunner) -> None:
    """A stored append whose response is lost must be neither reported as failed nor repeated."""
    cli.transport = faulty = _FaultyLogTransport(cli.transport, lost_responses=1)
    assert cli.run("publish", cli.write(FLEET)).exit_code == ExitCode.OK
    assert faulty.appends == 1


def test_append_is_retried_while_the_log_rejects_it(cli: CliRunner) -> None:
    """Above the append rate of the log, the verb must retry; the operator need not repeat it."""
    cli.transport = faulty = _FaultyLogTransport(cli.transport, rejected_appends=2)
    assert cli.run("publish", cli.write(FLEET)).exit_code == ExitCode.OK
    assert faulty.appends == 3


def test_rejected_append_changes_nothing(cli: CliRunner) -> None:
    """An append that the log rejects certainly changed nothing and must be reported so."""
    cli.transport = _FaultyLogTransport(cli.transport, rejected_appends=1000)
    outcome = cli.run("publish", "--timeout=0", cli.write(FLEET))
    assert outcome.exit_code == ExitCode.UNAVAILABLE and "nothing was changed" in outcome.stderr


def test_append_without_response_is_reported_as_unknown(cli: CliRunner) -> None:
    """Without a response to the append the outcome must be reported as unknown."""

    class _UnansweredAppends(_FaultyLogTransport):
        async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
            if request.method == "POST":
                raise httpx.ReadTimeout("no response")
            return await super().handle_async_request(request)

    cli.transport = _UnansweredAppends(cli.transport)
    outcome = cli.run("publish", "--timeout=0", cli.write(FLEET))
    assert outcome.exit_code == ExitCode.UNKNOWN and "Run the same command again" in outcome.stderr


@pytest.mark.parametrize(
    "argv",
    [["publish", "FILE"], ["diff", "FILE"], ["audit"], ["status"], ["drain", "server/x"]],
)
def test_unreachable_platform_is_an_error(cli: CliRunner, argv: list[str]) -> None:
    """An unreachable platform must lead to an error exit code and a message, not an exception."""

    def fail_to_connect(request: httpx.Request) -> httpx.Response:
        raise httpx.ConnectError("refused")

    cli.transport = httpx.MockTransport(fail_to_connect)
    file = cli.write(FLEET)
    outcome = cli.run(*[file if word == "FILE" else word for word in argv])
    assert outcome.exit_code in (ExitCode.UNAVAILABLE, ExitCode.FAILED) and outcome.stderr


def test_status_includes_unreachable_processes(cli: CliRunner) -> None:
    """One process that is down or reports unexpected values must not make the status fail."""
    _register_hosts(cli)
    platform = cli.transport
    bodies: dict[str, dict[str, Any]] = {
        "gpu-1": {
            "state": "serving",
            "load": 3,
            "limit": 5,
            "cold_limit": 8,
            "prompt_tokens": 100,
            "cached_tokens": 90,
            "config_offset": 4,
            "control_bytes_per_s": 800.5,
        },
        "entry-1": {"config_offset": "?", "new_key": []},
    }

    class _FleetTransport(httpx.AsyncBaseTransport):
        async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
            if request.url.host == "platform":
                return await platform.handle_async_request(request)
            if request.url.host in bodies:
                return httpx.Response(200, json=bodies[request.url.host])
            raise httpx.ConnectTimeout("down")

    cli.transport = _FleetTransport()
    table = cli.run("status")
    assert table.exit_code == ExitCode.OK
    assert "no answer" in table.stdout and "90%" in table.stdout
    report = cli.run("status", "--output=json").json
    servers = {server["server"]: server for server in report["servers"]}
    assert servers["gpu-1"]["cache_reuse"] == 0.9 and servers["gpu-1"]["load"] == 3
    assert servers["gpu-2"]["state"] == "no answer" and servers["gpu-2"]["load"] is None
    assert report["routers"][0]["config_offset"] is None
    assert report["data_centres"][0]["lowest_config_offset"] == 4
    asked = cli.run("status", "--platform=", "--host=gpu-1:80", "--output=json").json
    assert asked["servers"][0]["load"] == 3 and asked["config_offset"] is None


def test_gateway_status_includes_unreachable_gateways(cli: CliRunner) -> None:
    """A gateway that is down, or lacks a metric, must not hide the values of the others."""
    metrics = Metrics()
    stats = GatewayStats(metrics=metrics)
    metrics.gauge("gateway_config_version", "Configuration").set_function(lambda: 7.0)
    for status in (200, 200, 503):
        stats.count_request(status, "cause", 0.25)

    def respond(request: httpx.Request) -> httpx.Response:
        if request.url.host == "entry-1":
            return httpx.Response(200, content=metrics.render())
        raise httpx.ConnectTimeout("down")

    cli.transport = httpx.MockTransport(respond)
    flags = ["status", "--platform=", "--metrics=entry-1:9464", "--metrics=entry-2:9464"]
    first, second = cli.run(*flags, "--output=json").json["gateways"]
    assert (first["state"], first["config_version"], first["routers"]) == ("serving", 7.0, None)
    assert (first["requests"], first["refused"]) == (3.0, 1.0)
    assert first["request_seconds_p95"] == pytest.approx(0.25, rel=0.01)
    assert (second["state"], second["requests"]) == ("no answer", None)
    table = cli.run(*flags)
    assert "no answer" in table.stdout and "entry-1:9464" in table.stdout
    assert "entry-2:9464" in table.stderr and "down" in table.stderr


def test_wait_reports_processes_that_did_not_confirm_the_change(cli: CliRunner) -> None:
    """A change must not count as in force while a process is behind or does not respond."""
    _register_hosts(cli)
    platform = cli.transport
    offsets = {"gpu-1": 0, "gpu-2": 0, "entry-1": 0}

    async def respond(request: httpx.Request) -> httpx.Response:
        if request.url.host == "platform":
            return await platform.handle_async_request(request)
        offset = offsets.get(request.url.host)
        return httpx.Response(200 if offset is not None else 503, json={"config_offset": offset})

    cli.transport = httpx.MockTransport(respond)
    file = cli.write(FLEET)
    assert cli.run("publish", "--wait", file).exit_code == ExitCode.OK
    offsets.update({"gpu-1": 1, "entry-1": 1})
    pending = cli.run("drain", "--wait", "--timeout=0.1", "data_centre/kg-1")
    assert pending.exit_code == ExitCode.PENDING and "accepted at offset 1" in pending.stdout
    assert "not yet confirmed by: gpu-2" in pending.stderr
    del offsets["gpu-2"]
    unresponsive = cli.run("restore", "--wait", "--timeout=0", "--output=json", "data_centre/kg-1")
    assert unresponsive.exit_code == ExitCode.PENDING and unresponsive.json["behind"][-1] == "gpu-2"


@pytest.mark.parametrize("verb", sorted(set(VERBS) - {"serve", "version"}))
def test_help_shows_examples_and_exit_codes(cli: CliRunner, verb: str) -> None:
    """The help of every verb must have examples of it and the exit codes."""
    shown = cli.run(verb, "--help")
    assert shown.exit_code == ExitCode.OK
    assert f"cornellead {verb}" in shown.stdout.split("examples:")[1]
    assert "exit codes:" in shown.stdout


def test_invalid_command_line_is_a_usage_error(
    cli: CliRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An invalid command line must be rejected, not interpreted as another one."""
    for argv in (
        ["publsh"],
        [],
        ["publish"],
        ["publish", "--bse=1", "x"],
        ["audit", "--limit=x"],
        ARGV_WITH_BAD_URL,
    ):
        assert cli.run(*argv).exit_code == ExitCode.USAGE, argv
    assert cli.run("version").stdout.startswith("cornellead ")
    assert all(verb in cli.run("--help").stdout for verb in VERBS)
    monkeypatch.delenv("CORNELLEAD_PLATFORM")
    assert "CORNELLEAD_PLATFORM" in cli.run("audit").stderr
    assert "--host=IP:PORT" in cli.run("status").stderr
