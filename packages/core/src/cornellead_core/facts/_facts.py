"""Facts on the blackboards of routers and agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.blackboard import Fact
from cornellead_core.config import EMPTY_CONFIG

if TYPE_CHECKING:
    from cornellead_core.config import FleetConfig
    from cornellead_core.platform import HostEntry

CONFIG: Fact[FleetConfig] = Fact(name="config", default=EMPTY_CONFIG)
"""Configuration in force; its offset never decreases."""

HOSTS: Fact[tuple[HostEntry, ...]] = Fact(name="hosts", default=())
"""Last host list that was received; it is kept during an outage of the platform."""

DRAINING: Fact[bool] = Fact(name="draining", default=False)
"""Whether this process has been asked to stop."""
