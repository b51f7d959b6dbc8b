"""Encoding of control messages: a type byte, the fields as msgpack array, and a MAC."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.decoding import UNREADABLE
from cornellead_core.wire import _messages

if TYPE_CHECKING:
    from cornellead_core.auth import FleetKey
    from cornellead_core.wire._messages import Message

# The index in this tuple is the type byte on the wire, so new types are only appended.
_TYPES: tuple[type[Message], ...] = (
    _messages.Ack,
    _messages.LoadReportMessage,
    _messages.LoadExchange,
    _messages.ConfigOffset,
    _messages.ConfigRecords,
    _messages.ConfigStateRequest,
    _messages.ConfigSnapshot,
    _messages.CacheHint,
    _messages.ShareRequest,
    _messages.ShareLeases,
    _messages.HostDigest,
    _messages.HostChanges,
    _messages.HostSnapshot,
)
_TYPE_BYTES = {message_type: bytes([index]) for index, message_type in enumerate(_TYPES)}
_DECODERS = [msgspec.msgpack.Decoder(message_type) for message_type in _TYPES]
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Message, *, key: FleetKey) -> bytes:
    """Encode a message and append its MAC."""
    return key.sign_message(_TYPE_BYTES[type(message)] + _encoder.encode(message))


def decode_message(signed: bytes, *, key: FleetKey) -> Result[Message, str]:
    """Verify the MAC of a message and decode it.

    >>> from cornellead_core.auth import FleetKey
    >>> key = FleetKey(secret=b"0123456789abcdef")
    >>> decode_message(encode_message(_messages.ConfigOffset(7), key=key), key=key).unwrap()
    ConfigOffset(offset=7, log_age_ms=2147483648)
    """
    content = key.verify_message(signed)
    if not content:
        return Failure("wrong MAC: check that both processes have the same fleet key")
    if content[0] >= len(_DECODERS):
        return Failure(f"unknown message type {content[0]}: update this process")
    try:
        message: Message = _DECODERS[content[0]].decode(content[1:])
    except UNREADABLE as exc:
        return Failure(f"malformed control message: {exc}")
    return Success(message)
