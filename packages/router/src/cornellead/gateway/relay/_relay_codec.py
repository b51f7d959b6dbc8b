"""Encoding of the notices that routers relay to each other."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING
from typing import Annotated
from typing import NamedTuple

import msgspec

from cornellead.gateway.gossip import Age
from cornellead.gateway.relay._change_log import RelayPage
from cornellead_core.decoding import UNREADABLE
from cornellead_core.routing import DataCentreNotice
from cornellead_core.routing import EntryCount
from cornellead_core.routing import Notice
from cornellead_core.routing import QuarantineNotice
from cornellead_core.routing import RolloutNotice
from cornellead_core.routing import RolloutOrderNotice
from cornellead_core.routing import RouterNotice
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import ServerEntry
from cornellead_core.routing import ServerNotice

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_OFFSET = (1 << 63) - 1
"""Maximum offset in the store."""
_Offset = Annotated[int, msgspec.Meta(ge=0, le=MAX_OFFSET)]


class _EncodedPage(NamedTuple):
    next_offset: _Offset
    snapshot: bool
    age_s: Age
    routing: list[RoutingNotice]
    data_centres: list[DataCentreNotice]
    servers: list[ServerNotice]
    """Encoded without the counts of their entries, which routers of earlier builds reject, and
    with their versions only if asked for."""
    routers: list[RouterNotice]
    quarantines: list[QuarantineNotice] = []
    """Encoded only if there are some: routers of earlier builds reject longer pages."""
    orders: list[RolloutOrderNotice] = []
    """Encoded, with `rollouts`, only if asked for and if there are some."""
    rollouts: list[RolloutNotice] = []
    counts: list[EntryCount] = []
    """Encoded only if asked for and if there are some."""


MAX_PAGE_BYTES = 64 << 20
"""Maximum size of a page after decompression: a list of some hundred thousand servers."""
MIN_COMPRESSED_BYTES = 512
"""Minimum size at which compression saves more than its header."""
SEQUENCE_FIELD = ServerEntry._fields.index("sequence")
UNCOMPRESSED = b"\x00"
COMPRESSED = b"\x01"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_EncodedPage)


def encode_page(page: RelayPage, *, versions: bool = False, counts: bool = False) -> bytes:
    """Encode a page as MessagePack, compressed if it is large.

    :param versions: Whether to include the versions of servers, and the rollouts. Routers of
        earlier builds, which do not ask for them, reject pages that include them.
    :param counts: Whether to include the counts of entries, under the same condition.

    Notices are grouped by kind. The order among different kinds is not preserved, as no notice
    depends on one of another kind. Compression reduces the traffic of configurations, which are
    repetitive with many teams and are sent to every router after each change.
    """
    encoded = (
        page.next_offset,
        page.snapshot,
        page.age_s,
        [n for n in page.notices if isinstance(n, RoutingNotice)],
        [n for n in page.notices if isinstance(n, DataCentreNotice)],
        [_encode_server(n, versions=versions) for n in page.notices if isinstance(n, ServerNotice)],
        [n for n in page.notices if isinstance(n, RouterNotice)],
    )
    optional: list[Sequence[object]] = [
        [n for n in page.notices if isinstance(n, QuarantineNotice)],
        [n for n in page.notices if versions and isinstance(n, RolloutOrderNotice)],
        [n for n in page.notices if versions and isinstance(n, RolloutNotice)],
        page.counts if counts else (),
    ]
    while optional and not optional[-1]:
        optional.pop()
    data = _encoder.encode((*encoded, *optional))
    return (
        UNCOMPRESSED + data
        if len(data) < MIN_COMPRESSED_BYTES
        else COMPRESSED + zlib.compress(data)
    )


def decode_page(data: bytes) -> RelayPage | None:
    """Decode a page; ``None`` if the data is invalid."""
    try:
        encoded = _decoder.decode(_decompress(data))
    except (*UNREADABLE, zlib.error):
        return None
    counts = {count.server: count for count in encoded.counts}
    notices: list[Notice] = [
        *encoded.routing,
        *encoded.data_centres,
        *(_with_count(n, counts.get(n.server)) for n in encoded.servers),
        *encoded.routers,
        *encoded.quarantines,
        *encoded.orders,
        *encoded.rollouts,
    ]
    return RelayPage(
        notices,
        encoded.next_offset,
        encoded.snapshot,
        encoded.age_s,
        counts=tuple(encoded.counts),
    )


def _with_count(notice: ServerNotice, count: EntryCount | None) -> ServerNotice:
    entry = notice.entry
    if entry is None or count is None or count.started_ms != entry.started_ms:
        return notice
    return notice._replace(entry=entry._replace(sequence=count.sequence))


def _encode_server(notice: ServerNotice, *, versions: bool) -> tuple[object, ...]:
    entry = notice.entry
    if entry is None:
        return (notice.server, None, notice.removed)
    named = versions and entry.version
    fields = entry._replace(sequence=0) if named else entry[:SEQUENCE_FIELD]
    return (notice.server, fields, notice.removed)


def _decompress(data: bytes) -> bytes:
    if data[:1] != COMPRESSED:
        return data[1:]
    return zlib.decompressobj().decompress(data[1:], MAX_PAGE_BYTES)
