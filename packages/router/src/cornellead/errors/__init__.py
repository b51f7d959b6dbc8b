"""Error responses to callers."""

from __future__ import annotations

from cornellead.errors._api_error import ApiError
from cornellead.errors._api_error import deadline_error
from cornellead.errors._api_error import invalid_request_error
from cornellead.errors._api_error import refusal_error
from cornellead.errors._api_error import unavailable_error
from cornellead.errors._api_error import upstream_error

__all__ = [
    "ApiError",
    "deadline_error",
    "invalid_request_error",
    "refusal_error",
    "unavailable_error",
    "upstream_error",
]
