"""Error responses to callers."""

from __future__ import annotations

from cornellead.errors._api_error import ApiError
from cornellead.errors._api_error import busy
from cornellead.errors._api_error import invalid
from cornellead.errors._api_error import lost
from cornellead.errors._api_error import refusal_error
from cornellead.errors._api_error import too_late

__all__ = ["ApiError", "busy", "invalid", "lost", "refusal_error", "too_late"]
