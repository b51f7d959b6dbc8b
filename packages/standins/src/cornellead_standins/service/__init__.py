"""Stand-in for a plain service; counts the effects of its calls to reveal duplicates."""

from __future__ import annotations

from cornellead_standins.service._app import build_app
from cornellead_standins.service._settings import ServiceFaults
from cornellead_standins.service._settings import ServiceSettings

__all__ = ["ServiceFaults", "ServiceSettings", "build_app"]
