"""Outcomes of failed requests and reasons for refusals."""

from __future__ import annotations

from cornellead_core.outcomes._outcome import Outcome
from cornellead_core.outcomes._refusal import Refusal
from cornellead_core.outcomes._refusal import RefusalReason

__all__ = ["Outcome", "Refusal", "RefusalReason"]
