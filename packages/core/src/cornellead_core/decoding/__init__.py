"""What decoders of data from outside of the process have in common."""

from __future__ import annotations

from cornellead_core.decoding._count import MAX_DIGITS
from cornellead_core.decoding._count import decode_count
from cornellead_core.decoding._errors import UNREADABLE
from cornellead_core.decoding._response_status import is_interim_status

__all__ = ["MAX_DIGITS", "UNREADABLE", "decode_count", "is_interim_status"]
