"""Format in which routers pass notices on to each other."""

from __future__ import annotations

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


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Notices)


def encode_page(page: RelayPage) -> bytes:
    """Encode a page.

    The order among notices of different kinds is lost; none depends on another.
    """
    return _encoder.encode(
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


def decode_page(data: bytes) -> RelayPage | None:
    """Decode a page; ``None`` if it cannot be read."""
    try:
        kinds = _decoder.decode(data)
    except msgspec.DecodeError:
        return None
    notices: list[Notice] = [
        *kinds.routing,
        *kinds.data_centres,
        *kinds.servers,
        *kinds.routers,
    ]
    return RelayPage(notices, kinds.next_offset, kinds.whole, kinds.age_s)
