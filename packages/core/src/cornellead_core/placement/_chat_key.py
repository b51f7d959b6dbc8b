"""Key that identifies a chat across its turns."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence


class ChatKey(NamedTuple):
    """Hash that identifies a chat, and whether this is a later turn of the chat."""

    value: int
    """64-bit hash."""
    returning: bool
    """Whether the messages include an assistant response from an earlier turn."""

    @property
    def hex(self) -> str:
        """The hash as 16 hexadecimal digits."""
        return f"{self.value:016x}"

    def placement_key(self, model: str) -> bytes:
        """Return the rendezvous hashing key of this chat among the servers of a model."""
        return f"{model}\0{self.hex}".encode()


def derive_chat_key(
    *, team: str, model: str, messages: Sequence[Mapping[str, Any]], chat_id: str | None
) -> ChatKey:
    """Derive the key of a chat from its id, or without an id from its first messages.

    The messages up to the first user message are the same in every turn.

    >>> first = [{"role": "user", "content": "seats?"}]
    >>> later = [*first, {"role": "assistant", "content": "yes"}, {"role": "user", "content": "2"}]
    >>> a = derive_chat_key(team="t", model="m", messages=first, chat_id=None)
    >>> b = derive_chat_key(team="t", model="m", messages=later, chat_id=None)
    >>> a.value == b.value, a.returning, b.returning
    (True, False, True)
    """
    hasher = xxhash.xxh3_64()
    hasher.update(f"{team}\0{model}\0".encode())
    returning = any(message.get("role") == "assistant" for message in messages)
    if chat_id is not None:
        hasher.update(b"id\0" + chat_id.encode())
        return ChatKey(hasher.intdigest(), returning)
    for message in messages:
        role = message.get("role")
        hasher.update(f"{role}\0{message.get('content')!r}\0".encode())
        if role == "user":
            break
    return ChatKey(hasher.intdigest(), returning)
