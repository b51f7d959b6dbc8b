"""What the HTTP connections of a process share."""

from __future__ import annotations

import resource
from functools import partial
from typing import TYPE_CHECKING
from typing import cast

from cornellead_core.buffers import BufferBudget
from cornellead_core.connections import OpenConnections
from cornellead_core.connections import make_bounds
from cornellead_core.pacing import UNREAD_TIMEOUT_S
from cornellead_core.serving._paced_http_protocol import PacedHttpProtocol
from cornellead_core.serving._rejection import MESSAGES

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from collections.abc import Sequence

    from cornellead_core.metrics import Metrics
    from cornellead_core.pacing import ReadPacer
    from cornellead_core.serving._rejection import Rejection
    from cornellead_core.serving._rejection import RejectionEncoder
    from cornellead_core.settings import ProcessSettings

CONNECTION_SHARE = 0.6
"""Fraction of the descriptors of a process for callers; servers and the platform have the rest."""
MAX_CONNECTIONS = 4096
"""Connections of callers where descriptors allow more: some 10 KB each is a fifth of 200 MB."""
MAX_HELD_BYTES = 64 << 20
"""Default of what is held for all callers: four requests of the largest size, 4 MB, beside others.
A request in progress counts twice, since the application joins the parts of its body."""


class HttpServing:
    """Bounds and counters of all HTTP connections of a router or an agent.

    :param pacer: Shares the reads of the process among peers.
    :param settings: Limits on callers.
    :param metrics: Shows the numbers of connections, rejections and held bytes.
    :param encode_rejection: Encodes rejections in the format of the interface.
    """

    def __init__(
        self,
        *,
        pacer: ReadPacer,
        settings: ProcessSettings,
        metrics: Metrics,
        encode_rejection: RejectionEncoder,
    ) -> None:
        callers = settings.callers
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        total = min(int(CONNECTION_SHARE * descriptors), callers.connections or MAX_CONNECTIONS)
        self.pacer = pacer
        self.max_head_bytes = settings.max_head_bytes
        self.head_timeout_s = settings.head_timeout_s
        self.unread_timeout_s = callers.unread_timeout_s or UNREAD_TIMEOUT_S
        self.budget = BufferBudget(limit_bytes=callers.budget_bytes or MAX_HELD_BYTES)
        bounds = make_bounds(total, per_address=callers.connections_per_address)
        self.connections: OpenConnections[PacedHttpProtocol] = OpenConnections(bounds=bounds)
        self._rejected = metrics.counter(
            "rejected_requests", "Requests rejected before they ran, by status", ["status"]
        )
        self.unread_closed = 0
        self._encode_rejection = encode_rejection
        self._register_gauges(metrics)

    @property
    def protocol(self) -> type[asyncio.Protocol]:
        """What uvicorn calls as the class of its protocol."""
        return cast("type[asyncio.Protocol]", partial(PacedHttpProtocol, serving=self))

    def encode_rejection(
        self, rejection: Rejection, headers: Sequence[tuple[bytes, bytes]]
    ) -> bytes:
        """Count a rejection, and return the response.

        :param headers: Those of the request, empty if they are not complete.
        """
        self._rejected.labels(str(rejection.value)).inc()
        return self._encode_rejection(rejection, MESSAGES[rejection], headers)

    def _register_gauges(self, metrics: Metrics) -> None:
        gauges: dict[str, tuple[str, Callable[[], float]]] = {
            "caller_connections": (
                "Open connections of callers",
                lambda: len(self.connections),
            ),
            "refused_connections": (
                "Connections of callers that were closed at once, since a bound was reached",
                lambda: self.connections.refused,
            ),
            "unread_connections_closed": (
                "Connections that were closed since their callers read nothing",
                lambda: self.unread_closed,
            ),
            "caller_bytes": (
                "What is held for callers: requests and unread responses",
                lambda: self.budget.used_bytes + self.budget.pinned_bytes,
            ),
            "caller_bytes_dropped": (
                "Times that a caller had to give way since all of them held too much",
                lambda: self.budget.dropped + self.budget.refused,
            ),
        }
        for name, (description, read_value) in gauges.items():
            metrics.gauge(name, description).set_function(read_value)
