"""Format in which routers pass notices on to each other."""

from __future__ import annotations

import zlib
from typing import NamedTuple

import msgspec

from cornellead.gateway.relay._change_log import RelayPage
from cornellead_core.routing import DataCentreNotice
from cornellead_core.routing import Notice
from cornellead_core.routing import RouterNotice
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import ServerNotice


class _Notices(NamedTuple):
    next_offset: int
    whole: bool
    age_s: float
    routing: list[RoutingNotice]
    data_centres: list[DataCentreNotice]
    servers: list[ServerNotice]
    routers: list[RouterNotice]


MAX_PAGE_BYTES = 64 << 20
"""Longest page after decompression: a list of some hundred thousand servers."""
COMPRESSED_FROM_BYTES = 512
"""Length from which compression saves more than its header."""
PLAIN = b"\x00"
COMPRESSED = b"\x01"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Notices)


def encode_page(page: RelayPage) -> bytes:
    """Encode a page.

    The order among notices of different kinds is lost; none depends on another. Configurations of
    many teams are repetitive, and each change of one goes to every router.
    """
    data = _encoder.encode(
        _Notices(
            next_offset=page.next_offset,
            whole=page.whole,
            age_s=page.age_s,
            routing=[n for n in page.notices if isinstance(n, RoutingNotice)],
            data_centres=[n for n in page.notices if isinstance(n, DataCentreNotice)],
            servers=[n for n in page.notices if isinstance(n, ServerNotice)],
            routers=[n for n in page.notices if isinstance(n, RouterNotice)],
        )
    )
    return PLAIN + data if len(data) < COMPRESSED_FROM_BYTES else COMPRESSED + zlib.compress(data)


def decode_page(data: bytes) -> RelayPage | None:
    """Decode a page; ``None`` if it cannot be read."""
    try:
        kinds = _decoder.decode(_decompress(data))
    except (msgspec.DecodeError, zlib.error):
        return None
    notices: list[Notice] = [
        *kinds.routing,
        *kinds.data_centres,
        *kinds.servers,
        *kinds.routers,
    ]
    return RelayPage(notices, kinds.next_offset, kinds.whole, kinds.age_s)


def _decompress(data: bytes) -> bytes:
    if data[:1] != COMPRESSED:
        return data[1:]
    return zlib.decompressobj().decompress(data[1:], MAX_PAGE_BYTES)
