"""Header names, lower case as HTTP libraries deliver them."""

from __future__ import annotations

AUTH = "x-cl-auth"
REQUEST = "x-cl-request"
CHAT = "x-cl-chat"
RETURNING = "x-cl-returning"
TEAM = "x-cl-team"
PRIORITY = "x-cl-priority"
DEADLINE_MS = "x-cl-deadline-ms"
CONFIG = "x-cl-config"
LOAD = "x-cl-load"
FALLBACK = "x-cl-fallback"
ADOPT = "x-cl-adopt"
RESUME = "x-cl-resume"
REFUSAL = "x-cl-refusal"
HINT = "x-cl-hint"
CACHED = "x-cl-cached"
