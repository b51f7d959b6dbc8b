"""Emulated fleet; its routers use the decision modules of the gateway."""

from __future__ import annotations

from cornellead_emulator.routing._emulated_router import EmulatedRouter
from cornellead_emulator.routing._experiment_metrics import ExperimentMetrics
from cornellead_emulator.routing._fleet import Fleet
from cornellead_emulator.routing._fleet_settings import FleetSettings
from cornellead_emulator.routing._orders import ORDER_FACTORIES

__all__ = ["ORDER_FACTORIES", "EmulatedRouter", "ExperimentMetrics", "Fleet", "FleetSettings"]
