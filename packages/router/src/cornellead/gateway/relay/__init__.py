"""Relay of store notices from a few routers of each data centre to the others."""

from __future__ import annotations

from cornellead.gateway.relay._change_log import ChangeLog
from cornellead.gateway.relay._change_log import RelayPage
from cornellead.gateway.relay._relay_codec import decode_page
from cornellead.gateway.relay._relay_codec import encode_page
from cornellead.gateway.relay._relay_handler import RelayHandler
from cornellead.gateway.relay._relayed_store import RelayedStore

__all__ = ["ChangeLog", "RelayHandler", "RelayPage", "RelayedStore", "decode_page", "encode_page"]
