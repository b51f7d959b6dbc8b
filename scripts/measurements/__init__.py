"""Measurements of the fleet and its components against the targets of the requirements."""

from __future__ import annotations

from scripts.measurements._data_centre_removal import measure_data_centre_removal
from scripts.measurements._gateway_slopes import measure_gateway_slopes
from scripts.measurements._reuse import measure_reuse
from scripts.measurements._router import measure_router
from scripts.measurements._skew_and_control import measure_skew_and_control
from scripts.measurements._slopes import measure_slopes

__all__ = [
    "measure_data_centre_removal",
    "measure_gateway_slopes",
    "measure_reuse",
    "measure_router",
    "measure_skew_and_control",
    "measure_slopes",
]
