"""Ranges of the numbers and texts in messages of other routers, which the decoders check."""

from __future__ import annotations

import sys
from typing import Annotated

import msgspec

MAX_AGE_S = 1e9
"""Maximum age in seconds of what a message tells: longer than any process runs."""
MAX_COUNT = (1 << 31) - 1
MAX_ROUTERS = 2048
"""Routers whose messages are kept: six times the largest fleet that is planned for."""
MAX_HEARD_ROUTERS = 256
"""Routers whose reports of the last second are kept: each sends five reports a second to eight
others, so some 40 are heard."""
MAX_NAME_CHARS = 128
"""As the settings of a process allow."""

Age = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_AGE_S)]
"""Seconds; neither infinite nor not a number."""
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
RouterName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
Rate = Annotated[float, msgspec.Meta(ge=0.0, le=sys.float_info.max)]
"""Finite number per second."""
