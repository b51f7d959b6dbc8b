"""Operators' changes that a router serves by, for routers that start."""

from __future__ import annotations

import zlib

import msgspec

from cornellead.gateway.gossip import Age
from cornellead_core.decoding import UNREADABLE
from cornellead_core.routing import DataCentreNotice
from cornellead_core.routing import Notice
from cornellead_core.routing import RoutingData
from cornellead_core.routing import RoutingNotice

MAX_BYTES = 64 << 20
"""Maximum size after decompression: a configuration with thousands of teams."""


class InForce(msgspec.Struct, frozen=True):
    """Operators' changes in force at a router, whether the store still has them or not.

    The fields are encoded by name, so that routers of later builds may send more.
    """

    version: int
    routing: RoutingData | None
    """``None`` if the version is not later than the one that the request names."""
    data_centres: tuple[str, ...]
    """Data centres out of service."""
    era: int
    """Latest era of the store that the router has met in the operators' topic."""
    restored_age_s: Age | None
    """Time since the router met the last restore in that topic; ``None`` if it met none."""

    @property
    def notices(self) -> list[Notice]:
        """The changes as the store lists them."""
        routing = [] if self.routing is None else [RoutingNotice(self.routing, "")]
        return [*routing, *(DataCentreNotice(name, out=True) for name in self.data_centres)]


_decoder = msgspec.msgpack.Decoder(InForce)


def encode_in_force(in_force: InForce) -> bytes:
    """Encode as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(in_force))


def decode_in_force(data: bytes) -> InForce | None:
    """Decode what another router sent; ``None`` if the data is invalid."""
    try:
        return _decoder.decode(zlib.decompressobj().decompress(data, MAX_BYTES))
    except (*UNREADABLE, zlib.error):
        return None
