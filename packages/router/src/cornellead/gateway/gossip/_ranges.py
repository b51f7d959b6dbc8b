"""Ranges of the numbers in messages of other routers, which the decoders check."""

from __future__ import annotations

import sys
from typing import Annotated

import msgspec

MAX_AGE_S = 1e9
"""Maximum age in seconds of what a message tells: longer than any process runs."""
MAX_COUNT = (1 << 31) - 1

Age = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_AGE_S)]
"""Seconds; neither infinite nor not a number."""
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Rate = Annotated[float, msgspec.Meta(ge=0.0, le=sys.float_info.max)]
"""Finite number per second."""
