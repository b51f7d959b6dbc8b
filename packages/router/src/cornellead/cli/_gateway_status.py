"""Status of gateways, derived from their Prometheus metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import httpx
from prometheus_client.parser import text_string_to_metric_families

if TYPE_CHECKING:
    from collections.abc import Sequence

PREFIX = "cornellead_gateway_"
SHOWN_GAUGES = (
    "config_version",
    "config_age_seconds",
    "routers",
    "servers",
    "requests_in_progress",
)
"""Metrics without labels whose value is shown unchanged, without the prefix of their name."""
P95_QUANTILE = "0.95"
ROLLOUT_GAUGE = "rollout_share"


class GatewayStatus(NamedTuple):
    """Metrics of one gateway, or why they could not be read."""

    address: str
    error: str
    """Why the metrics could not be read; empty on success."""
    values: dict[str, float]
    """Values by short name; metrics that the gateway does not report are missing."""
    rollouts: tuple[str, ...] = ()
    """Service, version, phase and share of each rollout."""

    def to_row(self) -> dict[str, Any]:
        """Return the row of the table; values that are not reported are ``None``."""
        return {
            "gateway": self.address,
            "state": "no answer" if self.error else "serving",
            **{name: self.values.get(name) for name in SHOWN_GAUGES},
            "requests": self.values.get("requests"),
            "refused": self.values.get("refused"),
            "request_seconds_p95": self.values.get("request_seconds"),
            **({"rollouts": ", ".join(self.rollouts)} if self.rollouts else {}),
        }


async def collect_gateway_status(
    client: httpx.AsyncClient, addresses: Sequence[str], *, timeout_s: float
) -> list[GatewayStatus]:
    """Read the metrics of all gateways concurrently; failures are part of the result.

    :param addresses: ``ip:port`` of the metrics endpoint of each gateway.
    :param timeout_s: Timeout in seconds of each request.
    """

    async def fetch(address: str) -> GatewayStatus:
        try:
            resp = await client.get(f"http://{address}/metrics", timeout=timeout_s)
            resp.raise_for_status()
            values, rollouts = parse_metrics(resp.text), parse_rollouts(resp.text)
            return GatewayStatus(address, "", values, rollouts)
        except (httpx.HTTPError, ValueError) as exc:
            return GatewayStatus(address, f"{address}: {exc!r}", {})

    return await asyncio.gather(*(fetch(address) for address in addresses))


def parse_metrics(text: str) -> dict[str, float]:
    """Return the shown gauges, the total of requests, those refused and the latency's p95.

    :raises ValueError: The text is not in the Prometheus text format.

    >>> parse_metrics('cornellead_gateway_routers 3.0\\n')
    {'routers': 3.0}
    """
    values: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            name = sample.name.removeprefix(PREFIX)
            if name in SHOWN_GAUGES:
                values[name] = sample.value
            elif name == "requests_total":
                values["requests"] = values.get("requests", 0.0) + sample.value
                if sample.labels.get("status") == "503":
                    values["refused"] = values.get("refused", 0.0) + sample.value
            elif name == "request_seconds" and sample.labels.get("quantile") == P95_QUANTILE:
                values[name] = sample.value
    return values


def parse_rollouts(text: str) -> tuple[str, ...]:
    """Return the state of each rollout of which the gateway knows.

    :raises ValueError: The text is not in the Prometheus text format.

    >>> name = "cornellead_gateway_rollout_share"
    >>> parse_rollouts(name + '{service="llm",version="v2",phase="running"} 0.05\\n')
    ('llm to v2: running 0.05',)
    """
    return tuple(
        f"{labels['service']} to {labels['version']}: {labels['phase']} {sample.value:g}"
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name.removeprefix(PREFIX) == ROLLOUT_GAUGE and sample.value >= 0.0
        for labels in [sample.labels]
    )
