"""HTTP/1.1 client for agents and servers, with pooled connections and back-pressure."""

from __future__ import annotations

from cornellead.upstream._connection import Connection
from cornellead.upstream._connection import EchoedHeader
from cornellead.upstream._connection_pool import ConnectError
from cornellead.upstream._connection_pool import ConnectionPool
from cornellead.upstream._exchange import Exchange
from cornellead.upstream._exchange import ResponseHead
from cornellead.upstream._pooled_http_client import PooledHttpClient
from cornellead.upstream._pooled_http_client import encode_request_head

__all__ = [
    "ConnectError",
    "Connection",
    "ConnectionPool",
    "EchoedHeader",
    "Exchange",
    "PooledHttpClient",
    "ResponseHead",
    "encode_request_head",
]
