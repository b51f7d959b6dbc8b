"""Times that the search for a further server, the return of a stream and its patience share."""

from __future__ import annotations

SEARCH_INTERVAL_S = 0.2
"""Interval at which a further server is looked for while the attempt's own one stays silent."""
LONG_SILENCE_S = 2.5
"""Silence after which a full server is better than the own one: sound servers are silent for about
a second, and a full one queues some requests."""
REFUSAL_MEMORY_S = 1.0
"""Time for which a search does not ask a server again that has refused the request: servers report
their load about once a second."""
MAX_CONNECT_FAILURES = 4
"""Failed connection attempts after which one search ends."""
