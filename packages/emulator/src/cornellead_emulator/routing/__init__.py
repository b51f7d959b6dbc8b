"""Routers that decide with the modules of the gateway."""

from __future__ import annotations

from cornellead_emulator.routing._emulated_router import EmulatedRouter
from cornellead_emulator.routing._fleet import Fleet
from cornellead_emulator.routing._fleet_settings import FleetSettings
from cornellead_emulator.routing._orders import ORDERS
from cornellead_emulator.routing._tally import Tally

__all__ = ["ORDERS", "EmulatedRouter", "Fleet", "FleetSettings", "Tally"]
