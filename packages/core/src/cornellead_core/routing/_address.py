"""Addresses of processes."""

from __future__ import annotations

import re
from ipaddress import AddressValueError
from ipaddress import IPv4Address
from typing import NamedTuple

MAX_PORT = 65_535
PORT_PATTERN = re.compile("[0-9]{1,5}")
"""ASCII digits, and not more than the largest port has."""


class Address(NamedTuple):
    """IPv4 address and port."""

    host: str
    port: int


def parse_address(text: str) -> Address | None:
    """Parse ``ip:port``; ``None`` if nothing can be reached there.

    >>> parse_address("10.0.0.9:8080")
    Address(host='10.0.0.9', port=8080)
    >>> parse_address("10.0.0.9:0"), parse_address("10.0.0.9:65536"), parse_address("server:80")
    (None, None, None)
    """
    host, _, port = text.rpartition(":")
    if not PORT_PATTERN.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        return None
    try:
        return Address(str(IPv4Address(host)), int(port))
    except AddressValueError:
        return None
