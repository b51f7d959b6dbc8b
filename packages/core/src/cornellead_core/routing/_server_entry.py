"""Server registry entries and load reported in response headers."""

from __future__ import annotations

from typing import NamedTuple


class ServerEntry(NamedTuple):
    """Entry of one server in the server registry."""

    server: str
    """Name of one incarnation; the server rejects requests that name another one."""
    service: str
    address: str
    """``ip:port``."""
    data_centre: str
    slots: int
    draining: bool
    """Whether the server is shutting down and accepts no new requests."""
    cold_s: float
    """Remaining time for which the server is cold when the entry is written."""
    started_ms: int
    """Start time in Unix milliseconds; 0 if not announced."""
    sequence: int = 0
    """Number of the entry among those of the same start; 0 if not announced. Relayed between
    routers with changes only, since each renewal has another one."""
    version: str = ""
    """Version of the software that the server runs; empty if not announced."""


class EntryCount(NamedTuple):
    """Latest write of a server's entry, which tells later writes from earlier ones."""

    server: str
    started_ms: int
    """Start that wrote the entry; 0 if not announced."""
    sequence: int
    """Number of the write among those of its start; 0 if not announced."""
    left: bool = False
    """Whether the entry was removed without having lapsed, as far as the reader of the store can
    tell."""


class ReportedLoad(NamedTuple):
    """Load that a server reports in a response header."""

    running: int
    waiting: int
    slots: int
    work_factor: float | None = None
    """How long work takes on the machine at this moment, as a multiple of the usual time; ``None``
    if the server does not report it."""
