"""Decoding of the platform's settings, configuration and headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest
from returns.result import Failure
from tests.platform_adapter import payloads

from cornellead_core.routing import ForwardTarget
from cornellead_core.routing import RequestKind
from cornellead_core.routing import RoutingConfig
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import Topic
from cornellead_platform import PlatformHeaders
from cornellead_platform import load_node_settings
from cornellead_platform._config import decode_config
from cornellead_platform._records import KeyedRecord
from cornellead_platform._records import decode_record

if TYPE_CHECKING:
    from pathlib import Path


def test_configuration_is_decoded_with_units_and_defaults() -> None:
    """Guards against milliseconds that are read as seconds, and against too permissive defaults."""
    cfg = RoutingConfig(data=decode_config(payloads.operator_config()))
    streaming = cfg.match("BOX.example:8080", "/plan/today/x")
    unsafe = cfg.match("box.example", "/pay/1")
    assert streaming is not None and unsafe is not None
    assert (streaming.timeout_s, streaming.target_latency_s, streaming.target_gap_s) == (
        15.0,
        0.8,
        0.5,
    )
    assert streaming.kind is RequestKind.STREAMING and not streaming.repeatable
    assert (unsafe.max_attempts, unsafe.public, unsafe.repeatable) == (1, False, False)
    assert cfg.match("box.example", "/play/") is None
    assert cfg.match("other.example", "/plan/") is None
    team = cfg.team_of("k2")
    assert team is not None and (team.name, team.priority) == ("schools", 2)


def test_longest_path_prefix_wins() -> None:
    """Guards against requests of a nested route that are matched with the outer route."""
    body = payloads.operator_config()
    inner = body["routes"][1] | {"name": "inner", "path_prefix": "/plan/deep/er/"}
    cfg = RoutingConfig(data=decode_config(body | {"routes": [*body["routes"], inner]}))
    routes = [cfg.match("box.example", path) for path in ("/plan/deep/er/x", "/plan/deep/x")]
    assert [route.name for route in routes if route] == ["inner", "plan"]


def test_request_of_unknown_kind_is_not_repeatable() -> None:
    """Guards against requests of a kind that the platform adds later and that run twice."""
    body = payloads.operator_config()
    body["routes"][1]["kind"] = "once-a-day"
    route = RoutingConfig(data=decode_config(body)).match("box.example", "/pay/1")
    assert route is not None and not route.repeatable


@pytest.mark.parametrize(
    "value", [b"", b"{", b"[]", b'{"version":"x"}', b'{"version":1,"routes":[{}]}']
)
def test_malformed_configuration_is_reported_as_a_notice(value: bytes) -> None:
    """Guards against a process that crashes on a malformed configuration."""
    notice = decode_record(Topic.OPERATOR, KeyedRecord("config", value)).notice
    assert isinstance(notice, RoutingNotice) and notice.data is None and notice.problem


def test_settings_error_names_the_invalid_field(tmp_path: Path) -> None:
    """Guards against an error message that does not say which setting is invalid."""
    path = tmp_path / "boot.json"
    path.write_bytes(msgspec.json.encode(payloads.node_settings("10.0.0.1:80")))
    assert load_node_settings(str(path)).unwrap().bounds.retry_minimum == 56
    path.write_bytes(
        msgspec.json.encode(payloads.node_settings("10.0.0.1:80", bounds={"grace_s": "long"}))
    )
    result = load_node_settings(str(path))
    assert isinstance(result, Failure) and "grace_s" in result.failure()
    assert isinstance(load_node_settings(str(tmp_path / "none.json")), Failure)


def test_forged_and_hop_by_hop_headers_are_not_forwarded() -> None:
    """Guards against a caller that sets headers which only the router may set, or has the router
    drop its request id by naming it in the Connection header."""
    wire_format = PlatformHeaders()
    caller = wire_format.decode_caller(
        [
            (b"Host", b"box.example"),
            (b"X-Request-Id", b"7f"),
            (b"X-Api-Key", b"k1"),
            (b"X-Tenant", b"other"),
            (b"X-Hold", b"h"),
            (b"Kv-From", b"10.0.0.1:80/x"),
            (b"Kv-Fetch", b"10.0.0.1:80"),
            (b"X-Pin-Ms", b"900"),
            (b"X-Kv-Backup", b"10.0.0.1:80"),
            (b"X-Expect-Instance", b"i-1"),
            (b"X-Request-Urgency", b"0"),
            (b"X-Deadline-Ms", b"15000"),
            (b"Connection", b"close, X-Secret, X-Request-Id"),
            (b"X-Secret", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Model", b"m"),
        ]
    )
    target = ForwardTarget(
        server="i-9", team="schools", urgency=2, time_left_s=1.5, last_event="", prompt_source=""
    )
    lines = wire_format.encode_forward(caller, target).decode().lower().splitlines()
    assert lines == [
        "host: box.example",
        "x-request-id: 7f",
        "x-model: m",
        "x-deadline-ms: 1500",
        "x-expect-instance: i-9",
        "x-request-urgency: 2",
        "x-tenant: schools",
    ]


def test_repeated_identity_header_is_ambiguous() -> None:
    """Guards against the router and a server that read different ids or keys from one request."""
    decode = PlatformHeaders().decode_caller
    assert decode([(b"X-Request-Id", b"1"), (b"x-request-id", b"2")]).ambiguous
    assert decode([(b"X-Api-Key", b"1"), (b"X-API-KEY", b"2")]).ambiguous
    assert not decode([(b"X-Request-Id", b"1"), (b"Accept", b"a"), (b"Accept", b"b")]).ambiguous


def test_only_an_explicit_refusal_counts_as_not_run() -> None:
    """Guards against a second run of a request that a server had started before it sent a 503."""
    decode = PlatformHeaders().decode_reply
    assert decode(503, [(b"X-Not-Executed", b"1")]).not_run
    assert decode(421, []).not_run
    assert not decode(503, [(b"X-Response-Seal", b"s")]).not_run


@pytest.mark.parametrize(
    ("value", "limit"),
    [(b"3.5", 3.5), (b"0", 0.0), (b"2", 2.0), (b"", None), (b"-1", None), (b"inf", None)],
)
def test_rate_limit_of_a_server_is_decoded(value: bytes, limit: float | None) -> None:
    """Guards against a limit that is ignored, or that a malformed value sets."""
    headers = [(b"X-Response-Seal", b"s")] + ([(b"Server-Limit", value)] if value else [])
    assert PlatformHeaders().decode_reply(200, headers).rate_limit_per_s == limit


def test_header_numbers_of_thousands_of_digits_are_ignored() -> None:
    """Guards against a response or request that ends without an answer because of one number."""
    wire, digits = PlatformHeaders(), b"9" * 5000
    reply = wire.decode_reply(
        200,
        [
            (b"X-Response-Seal", b"s"),
            (b"X-Server-Load", digits + b",0,8"),
            (b"Server-Limit", digits),
        ],
    )
    assert reply.sealed and reply.load is None and reply.rate_limit_per_s is None
    caller = wire.decode_caller(
        [(b"X-Token-Counts", digits + b",1"), (b"X-Prompt-Prefix", b"a1:" + digits + b",b2:5")]
    )
    assert caller.prompt_tokens == 0 and [part.part for part in caller.prompt] == ["b2"]


@pytest.mark.parametrize("depth", ["file", "number"])
def test_odd_settings_file_is_rejected(tmp_path: Path, depth: str) -> None:
    """Guards against a changed settings file that ends the process."""
    path = tmp_path / "boot.json"
    settings = msgspec.json.encode(payloads.node_settings("10.0.0.1:80"))
    path.write_bytes(b"[" * 100_000 if depth == "file" else settings.replace(b"7340", b"9" * 5000))
    assert isinstance(load_node_settings(str(path)), Failure)
    path.write_bytes(settings.replace(b'"grace_s":8', b'"grace_s":' + b"9" * 400))
    assert isinstance(load_node_settings(str(path)), Failure)


@pytest.mark.parametrize("value", [0, -1])
@pytest.mark.parametrize("name", ["grace_s", "budget_window_s", "reads_per_s", "writes_per_s"])
def test_settings_that_end_tasks_or_requests_are_rejected(
    tmp_path: Path, name: str, value: int
) -> None:
    """Guards against a changed settings file that stops the readers, cuts requests at a stop, or
    fails each request."""
    path = tmp_path / "boot.json"
    settings = payloads.node_settings("10.0.0.1:80")
    section = "platform" if name.endswith("per_s") else "bounds"
    settings[section] = {**settings[section], name: value}
    path.write_bytes(msgspec.json.encode(settings))
    result = load_node_settings(str(path))
    assert isinstance(result, Failure) and name in result.failure()


@pytest.mark.parametrize(
    ("team", "value"), [("écoles", "écoles".encode("latin-1")), ("Łódź", "Łódź".encode())]
)
def test_team_of_any_name_is_told_to_the_server(team: str, value: bytes) -> None:
    """Guards against a team whose requests all fail because of the letters of its name."""
    wire_format = PlatformHeaders()
    caller = wire_format.decode_caller([(b"X-Request-Id", b"7f")])
    target = ForwardTarget(
        server="i-9", team=team, urgency=2, time_left_s=1.5, last_event="", prompt_source=""
    )
    assert b"x-tenant: " + value + b"\r\n" in wire_format.encode_forward(caller, target)


@pytest.mark.parametrize(
    "team",
    ["a\r\nX-Request-Urgency: 0", "a\nb", "a\rb", "a\0b", "a\x7fb", "\u6821\r\nX: 1", "\ud800"],
)
def test_name_of_a_team_adds_no_header_lines(team: str) -> None:
    """Guards against a configuration whose team names set headers, or requests, of their own."""
    wire_format = PlatformHeaders()
    target = ForwardTarget(
        server="i-9", team=team, urgency=2, time_left_s=1.5, last_event="", prompt_source=""
    )
    data = wire_format.encode_forward(wire_format.decode_caller([]), target)
    lines = data.split(b"\r\n")
    assert [line.partition(b":")[0] for line in lines] == [
        b"x-deadline-ms",
        b"x-expect-instance",
        b"x-request-urgency",
        b"x-tenant",
        b"",
    ]
    assert not any(byte < 0x20 or byte == 0x7F for line in lines for byte in line)
