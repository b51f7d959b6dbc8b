"""Parsing of the fields of a chat request that the router needs."""

from __future__ import annotations

from typing import Any

import msgspec

from cornellead.errors import ApiError
from cornellead.errors import invalid_request_error
from cornellead_core.decoding import UNREADABLE


class ChatBody(msgspec.Struct):
    """Body of ``POST /v1/chat/completions``; other fields are forwarded to the engine unparsed."""

    model: str
    messages: list[dict[str, Any]]
    stream: bool = False


_decoder = msgspec.json.Decoder(ChatBody)


def parse_chat_body(body: bytes) -> ChatBody | ApiError:
    """Parse the body and check that it has at least one message.

    >>> parse_chat_body(b'{"model": "m", "messages": []}').code
    'invalid_request'
    """
    try:
        chat = _decoder.decode(body)
    except UNREADABLE as exc:
        return invalid_request_error(f"the body is not a chat request: {exc}")
    if not chat.messages:
        return invalid_request_error("messages is empty; send at least one message")
    return chat
