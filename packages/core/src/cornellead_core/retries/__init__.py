"""Limits on retries: a retry budget per process and an exponential backoff per server."""

from __future__ import annotations

from cornellead_core.retries._backoff import Backoff
from cornellead_core.retries._retry_budget import RetryBudget

__all__ = ["Backoff", "RetryBudget"]
