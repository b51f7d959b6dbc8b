"""Pages between routers."""

from __future__ import annotations

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry

from cornellead.gateway.relay import RelayPage
from cornellead.gateway.relay import decode_page
from cornellead.gateway.relay import encode_page
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import ServerNotice


@pytest.mark.parametrize("servers", [0, 1, 300])
def test_page_is_read_back(servers: int) -> None:
    """Guards against notices that change on the way, compressed or not."""
    names = [f"s{number}" for number in range(servers)]
    notices = [ServerNotice(name, make_entry(name), removed=False) for name in names]
    page = RelayPage([RoutingNotice(make_config(3).data, ""), *notices], 9, True, 0.5)
    assert decode_page(encode_page(page)) == page


def test_long_page_is_compressed() -> None:
    """Guards against changes of configuration that take more than the 3 KB/s of a node."""
    names = [f"s{number}" for number in range(300)]
    notices = [ServerNotice(name, make_entry(name), removed=False) for name in names]
    assert len(encode_page(RelayPage([*notices], 9, True, 0.5))) < 10 * len(notices)


@given(st.binary(max_size=60))
def test_bytes_of_another_origin_are_no_page(data: bytes) -> None:
    """Guards against a router that stops because of what another process answers."""
    for body in (data, b"\x01" + data, b"\x01" + zlib.compress(data)):
        assert decode_page(body) is None
