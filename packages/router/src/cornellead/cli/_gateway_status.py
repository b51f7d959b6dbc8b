"""Status of gateways, from the metrics that they serve."""

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
GAUGES = ("config_version", "config_age_seconds", "routers", "servers", "requests_in_progress")
"""Metrics without labels that are shown as they are."""
SLOW_QUANTILE = "0.95"


class GatewayStatus(NamedTuple):
    """What one gateway reports; ``None`` for what it does not."""

    address: str
    problem: str
    """Why it did not answer; empty if it did."""
    values: dict[str, float]

    def describe(self) -> dict[str, Any]:
        """Return a row of the table."""
        return {
            "gateway": self.address,
            "state": "no answer" if self.problem else "serving",
            **{name: self.values.get(name) for name in GAUGES},
            "requests": self.values.get("requests"),
            "refused": self.values.get("refused"),
            "request_seconds_p95": self.values.get("request_seconds"),
        }


async def collect_gateways(
    client: httpx.AsyncClient, addresses: Sequence[str], *, timeout_s: float
) -> list[GatewayStatus]:
    """Read the metrics of every gateway; one that does not answer is reported as such.

    :param addresses: ``ip:port`` of the metrics of each.
    """

    async def ask(address: str) -> GatewayStatus:
        try:
            answer = await client.get(f"http://{address}/metrics", timeout=timeout_s)
            answer.raise_for_status()
            return GatewayStatus(address, "", parse_metrics(answer.text))
        except (httpx.HTTPError, ValueError) as exc:
            return GatewayStatus(address, f"{address}: {exc!r}", {})

    return await asyncio.gather(*(ask(address) for address in addresses))


def parse_metrics(text: str) -> dict[str, float]:
    """Return gauges, requests in total, refused ones and the 95th percentile of their times.

    :raises ValueError: The text is not in Prometheus's format.

    >>> parse_metrics('cornellead_gateway_routers 3.0\\n')
    {'routers': 3.0}
    """
    values: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            name = sample.name.removeprefix(PREFIX)
            if name in GAUGES:
                values[name] = sample.value
            elif name == "requests_total":
                values["requests"] = values.get("requests", 0.0) + sample.value
                if sample.labels.get("status") == "503":
                    values["refused"] = values.get("refused", 0.0) + sample.value
            elif name == "request_seconds" and sample.labels.get("quantile") == SLOW_QUANTILE:
                values[name] = sample.value
    return values
