"""Gossip of the configuration and of the host list to every process of the fleet."""

from __future__ import annotations

from cornellead_core.distribution._config_distributor import ConfigDistributor
from cornellead_core.distribution._config_exchange import ConfigExchange
from cornellead_core.distribution._config_store import ConfigStore
from cornellead_core.distribution._control_requester import ControlRequester
from cornellead_core.distribution._host_distributor import HostDistributor
from cornellead_core.distribution._host_view import ChangeResult
from cornellead_core.distribution._host_view import HostView
from cornellead_core.distribution._host_view import digest_hosts
from cornellead_core.distribution._offset_numbers import first_number
from cornellead_core.distribution._snapshot_search import FoundSnapshot
from cornellead_core.distribution._snapshot_search import find_snapshot

__all__ = [
    "ChangeResult",
    "ConfigDistributor",
    "ConfigExchange",
    "ConfigStore",
    "ControlRequester",
    "FoundSnapshot",
    "HostDistributor",
    "HostView",
    "digest_hosts",
    "find_snapshot",
    "first_number",
]
