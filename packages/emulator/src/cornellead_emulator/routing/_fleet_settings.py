"""Size and figures of an emulated fleet."""

from __future__ import annotations

import msgspec

from cornellead_emulator.servers import ModelServerSettings


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Routers, servers and how soon they learn of each other."""

    routers: int = 5
    servers: int = 6
    data_centres: int = 3
    server: ModelServerSettings = ModelServerSettings()
    send_ms: float = 13.0
    """Time from a router's choice until the server begins: network and handling of the request."""
    list_lag_s: float = 0.25
    """Mean time until a router sees a change of a server's entry."""
    report_interval_s: float = 0.2
    """Time between a router's reports of its requests."""
    reports_heard: int = 8
    """Routers that hear each report; 0 for none."""
    load_factor: float = 2.0
    """Multiple of the mean load that a server may have."""
    cold_slack: float = 5.0
    """Requests in a second that a cold server bears besides its rate."""
    max_attempts: int = 2
    retry_ratio: float = 0.2
    retry_minimum: float = 56.0

    def with_routers(self, routers: int) -> FleetSettings:
        """Return the same fleet with another number of routers."""
        return msgspec.structs.replace(self, routers=routers)
