"""Authentication between processes of one fleet."""

from __future__ import annotations

from cornellead_core.auth._fleet_key import FleetKey

__all__ = ["FleetKey"]
