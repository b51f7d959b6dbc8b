"""Fair sharing of an event loop among the peers that send to a process."""

from __future__ import annotations

from cornellead_core.pacing._arrival_timer import ArrivalTimeout
from cornellead_core.pacing._arrival_timer import ArrivalTimer
from cornellead_core.pacing._close_watch import CloseWatch
from cornellead_core.pacing._paced_protocol import PacedProtocol
from cornellead_core.pacing._read_pacer import SLICE_BYTES
from cornellead_core.pacing._read_pacer import PacedReader
from cornellead_core.pacing._read_pacer import ReadPacer
from cornellead_core.pacing._unread_watch import UNREAD_TIMEOUT_S
from cornellead_core.pacing._unread_watch import UnreadWatch

__all__ = [
    "SLICE_BYTES",
    "UNREAD_TIMEOUT_S",
    "ArrivalTimeout",
    "ArrivalTimer",
    "CloseWatch",
    "PacedProtocol",
    "PacedReader",
    "ReadPacer",
    "UnreadWatch",
]
