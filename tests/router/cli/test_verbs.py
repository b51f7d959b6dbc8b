"""The operators' verbs against the stand-in platform."""

from __future__ import annotations

import asyncio
from typing import Any

import httpx
import pytest
from tests.router.cli.conftest import FLEET
from tests.router.cli.conftest import URL
from tests.router.cli.conftest import Operator

from cornellead.cli._exit_code import ExitCode
from cornellead.cli._main import VERBS
from cornellead.gateway.stats import GatewayStats
from cornellead_core.config import ConfigState
from cornellead_core.config import make_snapshot
from cornellead_core.config import reduce_record
from cornellead_core.metrics import Metrics
from cornellead_core.platform import HttpLog
from cornellead_core.platform import LogRecord

BAD_URL = ["audit", "--platform=10.0.0.1:7000"]
HOSTS = {
    "gpu-1": {"kind": "agent", "dc": "kg-1"},
    "gpu-2": {"kind": "agent", "dc": "kg-2"},
    "entry-1": {"kind": "router", "dc": "kg-1"},
}


def _add_hosts(operator: Operator) -> None:
    async def put() -> None:
        async with httpx.AsyncClient() as client:
            for name, entry in HOSTS.items():
                entry = {**entry, "region": "r", "http": f"{name}:80", "control": f"{name}:81"}
                await client.put(f"{URL}/hosts/{name}", json=entry)

    asyncio.run(put())


class _Faulty(httpx.AsyncBaseTransport):
    """Passes requests on, and loses the answers to appends or refuses them."""

    def __init__(self, inner: httpx.AsyncBaseTransport, *, lose: int = 0, refuse: int = 0) -> None:
        self._inner = inner
        self._lose = lose
        self._refuse = refuse
        self.appends = 0

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        if request.method != "POST":
            return await self._inner.handle_async_request(request)
        self.appends += 1
        if self.appends <= self._refuse:
            return httpx.Response(429)
        response = await self._inner.handle_async_request(request)
        if self.appends <= self._lose:
            raise httpx.ReadTimeout("answer lost")
        return response


def test_publish_diff_and_audit(operator: Operator) -> None:
    """Guards against a change that is reported other than the fleet decides."""
    file = operator.write(FLEET)
    assert operator.run("diff", file).code == ExitCode.DIFFERENT
    published = operator.run("publish", "--author=ana", file)
    assert published.code == ExitCode.OK
    assert published.out == "accepted at offset 0: model/m, team/a, template/t\n"
    assert "unchanged" in operator.run("publish", file).out
    assert operator.run("diff", file).code == ExitCode.OK
    operator.write(FLEET.replace("rate: 10", "rate: 20"))
    changed = operator.run("diff", "--output=json", file)
    assert changed.code == ExitCode.DIFFERENT
    assert changed.json["differences"] == [
        {
            "object": "template/t",
            "path": "parameters.rate",
            "fleet": 10,
            "files": 20,
            "version": 0,
        }
    ]
    published = operator.run("publish", "--author=ben", "--output=json", file)
    assert published.json["accepted"] and published.json["previous"] == [0]
    audit = operator.run("audit", "--output=json").json
    assert [(item["author"], item["accepted"]) for item in audit] == [("ana", True), ("ben", True)]
    assert len(operator.run("audit", "--by=ben").out.splitlines()) == 2


def test_rejection_names_the_winner_and_what_to_do(operator: Operator) -> None:
    """Guards against an operator who does not learn that another change won."""
    file = operator.write(FLEET)
    operator.run("publish", "--author=ana", file)
    operator.write(FLEET.replace("rate: 10", "rate: 20"))
    rejected = operator.run("publish", "--base=-1", file)
    assert rejected.code == ExitCode.FAILED
    assert "template/t was changed by ana at version 0, after the base -1" in rejected.err
    assert "cornellead audit --from=0" in rejected.err and "publish them again" in rejected.err
    listed = operator.run("audit", "--rejected", "--object=template/t").out
    assert "rejected: template/t was changed by ana" in listed


def test_faulty_files_are_not_published(operator: Operator) -> None:
    """Guards against a fault that reaches the log, or that is reported without its place."""
    file = operator.write(FLEET.replace("models: [m]", "models: [x]"))
    for verb in ("validate", "publish"):
        faulty = operator.run(verb, file)
        assert faulty.code == ExitCode.FAILED
        expected = f"{file}:8: spec.models.0: model x does not exist (accepted: m)"
        assert expected in faulty.err
    assert operator.run("audit", "--output=json").json == []


def test_change_and_audit_after_records_were_dropped(operator: Operator) -> None:
    """Guards against verbs that need the whole log, or forget decisions on changes it still has."""
    operator.replace_platform(retention_records=3)
    for text in ("one", "two", "three"):
        file = operator.write(f"kind: model\nname: m\ndescription: {text}\n")
        assert operator.run("publish", f"--author={text}", file).code == ExitCode.OK
    stale = operator.run(
        "publish", "--author=old", "--base=0", operator.write("kind: model\nname: m")
    )
    assert stale.code == ExitCode.FAILED

    async def append_snapshot() -> None:
        async with httpx.AsyncClient() as client:
            log = HttpLog(client=client, url=URL)
            state = ConfigState()
            for record in [*kept, *(await log.read("config", from_offset=1)).unwrap().records]:
                state, _ = reduce_record(state, record)
            await log.append("config", [make_snapshot(state)])

    first = {"change_id": "0", "author": "one", "base": -1, "objects": {"model/m": {}}}
    kept = [LogRecord(0, 0, {"kind": "change", **first})]
    asyncio.run(append_snapshot())
    audit = operator.run("audit", "--output=json").json
    assert [(item["offset"], item["accepted"]) for item in audit] == [(2, True), (3, False)]
    assert "changed by three at version 2" in audit[1]["reason"]
    added = operator.run("publish", operator.write("kind: model\nname: n\n"))
    assert added.out == "accepted at offset 5: model/n\n"


def test_validate_against_files_alone_or_with_the_fleet(operator: Operator) -> None:
    """Guards against references that are checked against the wrong objects."""
    operator.run("publish", operator.write(FLEET))
    team = FLEET.split("---\n")[2].replace("a" * 64, "b" * 64).replace("name: a", "name: b")
    file = operator.write(team, "team.yaml")
    assert operator.run("validate", file).code == ExitCode.OK
    alone = operator.run("validate", "--platform=", "--output=json", file)
    assert alone.code == ExitCode.FAILED
    assert alone.json["errors"][0]["path"] == "template"


def test_delete(operator: Operator) -> None:
    """Guards against a deletion that leaves references behind."""
    operator.run("publish", operator.write(FLEET))
    refused = operator.run("publish", "--delete=template/t")
    assert refused.code == ExitCode.FAILED and "published team/a: template" in refused.err
    assert operator.run("publish", "--delete=team/a", "--delete=template/t").code == ExitCode.OK
    assert operator.run("publish", "--delete=team/a").code == ExitCode.OK
    assert operator.run("publish", "--delete=a").code == ExitCode.USAGE


def test_drain_and_restore(operator: Operator) -> None:
    """Guards against a drain that hits nothing, or that loses what else the object says."""
    _add_hosts(operator)
    operator.run("publish", operator.write("kind: server\nname: gpu-1\nversion: v2\n"))
    assert operator.run("drain", "data_centre/kg-2", "server/gpu-1").code == ExitCode.OK
    assert "unchanged" in operator.run("drain", "server/gpu-1").out
    assert operator.run("drain", "router/entry-1").code == ExitCode.OK
    audit = operator.run("audit", "--output=json").json
    assert audit[1]["values"] == {
        "data_centre/kg-2": {"state": "out"},
        "server/gpu-1": {"version": "v2", "state": "draining"},
    }
    assert audit[2]["values"] == {"server/entry-1": {"state": "draining"}}
    status = operator.run("status", "--output=json").json
    assert [dc["state"] for dc in status["data_centres"]] == ["in", "out"]
    assert operator.run("restore", "data_centre/kg-2").code == ExitCode.OK
    for target in ("server/gpu-9", "router/gpu-1", "data_centre/kg"):
        unknown = operator.run("drain", target)
        assert unknown.code == ExitCode.FAILED and "accepted: " in unknown.err
    assert operator.run("drain", "--force", "server/gpu-9").code == ExitCode.OK
    assert operator.run("drain", "gpu-1").code == ExitCode.USAGE
    assert operator.run("drain").code == ExitCode.USAGE


def test_lost_append_answer_is_resolved_by_reading(operator: Operator) -> None:
    """Guards against a change that is reported as failed, or applied twice, after it was stored."""
    operator.transport = faulty = _Faulty(operator.transport, lose=1)
    assert operator.run("publish", operator.write(FLEET)).code == ExitCode.OK
    assert faulty.appends == 1


def test_append_is_repeated_while_the_log_refuses(operator: Operator) -> None:
    """Guards against an operator who must repeat the command above the append rate."""
    operator.transport = faulty = _Faulty(operator.transport, refuse=2)
    assert operator.run("publish", operator.write(FLEET)).code == ExitCode.OK
    assert faulty.appends == 3


def test_refused_append_changes_nothing(operator: Operator) -> None:
    """Guards against an outage that is reported as a possible change."""
    operator.transport = _Faulty(operator.transport, refuse=1000)
    outcome = operator.run("publish", "--timeout=0", operator.write(FLEET))
    assert outcome.code == ExitCode.UNAVAILABLE and "nothing was changed" in outcome.err


def test_unconfirmed_append_is_unknown(operator: Operator) -> None:
    """Guards against a report of success or failure when neither is known."""

    class _Silent(_Faulty):
        async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
            if request.method == "POST":
                raise httpx.ReadTimeout("no answer")
            return await super().handle_async_request(request)

    operator.transport = _Silent(operator.transport)
    outcome = operator.run("publish", "--timeout=0", operator.write(FLEET))
    assert outcome.code == ExitCode.UNKNOWN and "Run the same command again" in outcome.err


@pytest.mark.parametrize(
    "argv",
    [["publish", "FILE"], ["diff", "FILE"], ["audit"], ["status"], ["drain", "server/x"]],
)
def test_platform_that_does_not_answer(operator: Operator, argv: list[str]) -> None:
    """Guards against an exception, or an exit code that looks like success."""

    def refuse(request: httpx.Request) -> httpx.Response:
        raise httpx.ConnectError("refused")

    operator.transport = httpx.MockTransport(refuse)
    file = operator.write(FLEET)
    outcome = operator.run(*[file if word == "FILE" else word for word in argv])
    assert outcome.code in (ExitCode.UNAVAILABLE, ExitCode.FAILED) and outcome.err


def test_status_of_processes(operator: Operator) -> None:
    """Guards against a status that fails because one process is down or reports other keys."""
    _add_hosts(operator)
    platform = operator.transport
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

    class _Fleet(httpx.AsyncBaseTransport):
        async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
            if request.url.host == "platform":
                return await platform.handle_async_request(request)
            if request.url.host in bodies:
                return httpx.Response(200, json=bodies[request.url.host])
            raise httpx.ConnectTimeout("down")

    operator.transport = _Fleet()
    table = operator.run("status")
    assert table.code == ExitCode.OK
    assert "no answer" in table.out and "90%" in table.out
    report = operator.run("status", "--output=json").json
    servers = {server["server"]: server for server in report["servers"]}
    assert servers["gpu-1"]["cache_reuse"] == 0.9 and servers["gpu-1"]["load"] == 3
    assert servers["gpu-2"]["state"] == "no answer" and servers["gpu-2"]["load"] is None
    assert report["routers"][0]["config_offset"] is None
    assert report["data_centres"][0]["lowest_config_offset"] == 4
    asked = operator.run("status", "--platform=", "--host=gpu-1:80", "--output=json").json
    assert asked["servers"][0]["load"] == 3 and asked["config_offset"] is None


def test_status_of_gateways(operator: Operator) -> None:
    """Guards against a gateway that is down, or metrics without a value, hiding the others."""
    metrics = Metrics()
    stats = GatewayStats(metrics=metrics)
    metrics.gauge("gateway_config_version", "Configuration").set_function(lambda: 7.0)
    for status in (200, 200, 503):
        stats.count_request(status, "cause", 0.25)

    def answer(request: httpx.Request) -> httpx.Response:
        if request.url.host == "entry-1":
            return httpx.Response(200, content=metrics.render())
        raise httpx.ConnectTimeout("down")

    operator.transport = httpx.MockTransport(answer)
    flags = ["status", "--platform=", "--metrics=entry-1:9464", "--metrics=entry-2:9464"]
    first, second = operator.run(*flags, "--output=json").json["gateways"]
    assert (first["state"], first["config_version"], first["routers"]) == ("serving", 7.0, None)
    assert (first["requests"], first["refused"]) == (3.0, 1.0)
    assert first["request_seconds_p95"] == pytest.approx(0.25, rel=0.01)
    assert (second["state"], second["requests"]) == ("no answer", None)
    table = operator.run(*flags)
    assert "no answer" in table.out and "entry-1:9464" in table.out
    assert "entry-2:9464" in table.err and "down" in table.err


def test_wait_until_the_change_is_in_force(operator: Operator) -> None:
    """Guards against a report that a change is in force while a process lags or is silent."""
    _add_hosts(operator)
    platform = operator.transport
    offsets = {"gpu-1": 0, "gpu-2": 0, "entry-1": 0}

    async def answer(request: httpx.Request) -> httpx.Response:
        if request.url.host == "platform":
            return await platform.handle_async_request(request)
        offset = offsets.get(request.url.host)
        return httpx.Response(200 if offset is not None else 503, json={"config_offset": offset})

    operator.transport = httpx.MockTransport(answer)
    file = operator.write(FLEET)
    assert operator.run("publish", "--wait", file).code == ExitCode.OK
    offsets.update({"gpu-1": 1, "entry-1": 1})
    pending = operator.run("drain", "--wait", "--timeout=0.1", "data_centre/kg-1")
    assert pending.code == ExitCode.PENDING and "accepted at offset 1" in pending.out
    assert "not yet confirmed by: gpu-2" in pending.err
    del offsets["gpu-2"]
    silent = operator.run("restore", "--wait", "--timeout=0", "--output=json", "data_centre/kg-1")
    assert silent.code == ExitCode.PENDING and silent.json["behind"][-1] == "gpu-2"


@pytest.mark.parametrize("verb", sorted(set(VERBS) - {"serve", "version"}))
def test_help_has_examples_and_exit_codes(operator: Operator, verb: str) -> None:
    """Guards against a verb that does not explain itself."""
    shown = operator.run(verb, "--help")
    assert shown.code == ExitCode.OK
    assert f"cornellead {verb}" in shown.out.split("examples:")[1]
    assert "exit codes:" in shown.out


def test_usage_errors(operator: Operator, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a wrong command line that is taken for another one."""
    for argv in (
        ["publsh"],
        [],
        ["publish"],
        ["publish", "--bse=1", "x"],
        ["audit", "--limit=x"],
        BAD_URL,
    ):
        assert operator.run(*argv).code == ExitCode.USAGE, argv
    assert operator.run("version").out.startswith("cornellead ")
    assert all(verb in operator.run("--help").out for verb in VERBS)
    monkeypatch.delenv("CORNELLEAD_PLATFORM")
    assert "CORNELLEAD_PLATFORM" in operator.run("audit").err
    assert "--host=IP:PORT" in operator.run("status").err
