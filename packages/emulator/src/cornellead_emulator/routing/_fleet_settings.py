"""Settings of the emulated fleet."""

from __future__ import annotations

import msgspec

from cornellead_emulator.servers import ModelServerSettings


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Number of routers and servers, delays between them, and limits on load and retries."""

    routers: int = 5
    servers: int = 6
    data_centres: int = 3
    server: ModelServerSettings = ModelServerSettings()
    work_factors: tuple[float, ...] = (1.0,)
    """Mean work factors of the servers; they repeat if there are more servers."""
    reports_work: bool = False
    """Whether servers report their work factors."""
    swing: float = 0.0
    """Largest deviation of a data centre's demand from its mean, as a fraction; the data centres
    swing out of phase."""
    swing_period_s: float = 12.0
    send_ms: float = 13.0
    """Time from a router's choice until the server starts: network and request handling."""
    list_lag_s: float = 0.25
    """Mean delay until a router applies a change of the list of servers."""
    report_interval_s: float = 0.2
    """Interval between the load reports of a router."""
    reports_heard: int = 8
    """Number of routers that receive each load report; 0 for none."""
    load_factor: float = 2.0
    """Maximum load of a server as a multiple of the mean load."""
    cold_slack: float = 5.0
    """Burst of a cold server: requests in one second that it can handle in addition to its rate."""
    max_attempts: int = 2
    """Maximum servers that may run one attempt of a caller."""
    retry_ratio: float = 0.2
    """Retries allowed per request, over all routers."""
    retry_minimum: float = 56.0
    """Retries always allowed in the window of the retry budget, over all routers."""

    def with_routers(self, routers: int) -> FleetSettings:
        """Return a copy of the settings with another number of routers."""
        return msgspec.structs.replace(self, routers=routers)
