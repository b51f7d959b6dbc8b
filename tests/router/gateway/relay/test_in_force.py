"""Tests of what routers that start are told by others."""

from __future__ import annotations

import zlib

import msgspec
import pytest
from tests.router.gateway.builders import make_config
from tests.router.gateway.relay.test_relay_codec import RecordingWriter
from tests.router.gateway.relay.test_relay_codec import RelayRequest

from cornellead.gateway.relay._in_force import InForce
from cornellead.gateway.relay._in_force import decode_in_force
from cornellead.gateway.relay._in_force import encode_in_force
from cornellead.gateway.relay._in_force_handler import InForceHandler
from cornellead.gateway.view import FleetView
from cornellead_core.routing import DataCentreNotice
from cornellead_core.routing import RoutingNotice

IN_FORCE = InForce(
    version=3, routing=make_config(3).data, data_centres=("dc-a",), era=2, restored_age_s=0.5
)


def test_what_is_in_force_round_trips() -> None:
    """Guards against a configuration or a data centre that changes in transit."""
    decoded = decode_in_force(encode_in_force(IN_FORCE))
    assert decoded == IN_FORCE
    assert decoded.notices == [
        RoutingNotice(make_config(3).data, ""),
        DataCentreNotice("dc-a", out=True),
    ]


def test_field_of_a_later_build_is_ignored() -> None:
    """Guards against routers that learn nothing from others during a rollout."""
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(IN_FORCE)) | {"later": 1}
    assert decode_in_force(zlib.compress(msgspec.msgpack.encode(fields))) == IN_FORCE


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        zlib.compress(b"\xc1"),
        zlib.compress(msgspec.msgpack.encode({"version": "x"})),
        encode_in_force(IN_FORCE)[:-8],
        encode_in_force(msgspec.structs.replace(IN_FORCE, restored_age_s=float("nan"))),
        encode_in_force(msgspec.structs.replace(IN_FORCE, restored_age_s=-1.0)),
    ],
)
def test_answer_that_is_not_valid_is_dropped(body: bytes) -> None:
    """Guards against a start that fails with an odd answer."""
    assert decode_in_force(body) is None


@pytest.mark.parametrize(
    ("query", "loaded", "status"),
    [(b"", True, 200), (b"?above=x", True, 400), (b"?above=2", False, 503)],
)
def test_request_gets_an_answer(query: bytes, loaded: bool, status: int) -> None:
    """Guards against a router that starts and waits for one that has nothing to tell."""
    view, writer = FleetView(router="r1"), RecordingWriter()
    if loaded:
        view.activate_config(make_config(3))
    handler = InForceHandler(view=view, clock=lambda: 1.0)
    req = RelayRequest("/in-force", b"/in-force" + query)
    handler.handle(req, writer)  # type: ignore[arg-type]
    assert writer.statuses == [status]
