"""Names of the HTTP headers that routers and agents exchange."""

from __future__ import annotations

from cornellead_core.headers._names import ADOPT
from cornellead_core.headers._names import AUTH
from cornellead_core.headers._names import CACHED
from cornellead_core.headers._names import CHAT
from cornellead_core.headers._names import CONFIG
from cornellead_core.headers._names import DEADLINE_MS
from cornellead_core.headers._names import FALLBACK
from cornellead_core.headers._names import HINT
from cornellead_core.headers._names import LOAD
from cornellead_core.headers._names import PRIORITY
from cornellead_core.headers._names import REFUSAL
from cornellead_core.headers._names import REQUEST
from cornellead_core.headers._names import RESUME
from cornellead_core.headers._names import RETURNING
from cornellead_core.headers._names import TEAM

__all__ = [
    "ADOPT",
    "AUTH",
    "CACHED",
    "CHAT",
    "CONFIG",
    "DEADLINE_MS",
    "FALLBACK",
    "HINT",
    "LOAD",
    "PRIORITY",
    "REFUSAL",
    "REQUEST",
    "RESUME",
    "RETURNING",
    "TEAM",
]
