"""Retries after failures: a budget for the process and a backoff for each server."""

from __future__ import annotations

from cornellead_core.retries._backoff import Backoff
from cornellead_core.retries._retry_budget import RetryBudget

__all__ = ["Backoff", "RetryBudget"]
