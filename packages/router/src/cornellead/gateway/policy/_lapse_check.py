"""Decision whether the removal of an entry can be due to a missing heartbeat."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from cornellead_core.routing import ServerNotice

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cornellead_core.routing import Notice
    from cornellead_core.routing import ServerEntry

LAPSE_HEARTBEATS = 3.0
"""Heartbeat intervals of silence after which the store removes an entry."""
MIN_INTERVAL_SHARE = 0.9
"""Minimum time between two renewals of an entry in heartbeat intervals: servers write approximately
once in each."""


class LapseCheck:
    """Tells entries whose servers left from entries that lapsed.

    A router that was cut off from the store reads all writes of that time at once. The earliest
    possible time of an entry's latest write follows from the reads before and from the number of
    its renewals since, and the latest possible time of its removal from the renewals of others
    after it. While the store or the way to it is down, nothing is renewed. An entry that was
    removed less than three heartbeat intervals after its latest write has not lapsed.

    A store that keeps renewals out of its log shows changes only. Then a removal in another data
    centre counts as no lapse if servers there wrote shortly before and most of them are still
    listed: the store was not down, and only the own data centre was cut off together with the
    router.

    It answers loads in which servers leave around the end of a cut of hundreds of routers, some of
    them with servers in the same data centre, which are cut off as well.

    :param data_centre: Data centre of this router.
    :param heartbeat_s: Returns the heartbeat interval of servers in seconds; 0 if it is unknown.
    """

    def __init__(self, *, data_centre: str, heartbeat_s: Callable[[], float]) -> None:
        self._data_centre = data_centre
        self._heartbeat_s = heartbeat_s
        self._written: dict[str, tuple[float, ServerEntry]] = {}
        """Earliest possible time of the latest write of each listed server, and what it said."""
        self._wrote_at: dict[str, float] = {}
        """Time of the last read that had a write from a data centre."""

    def find_left(self, notices: Sequence[Notice], *, since: float, now: float) -> set[str]:
        """Record a read of the store, and return the servers whose removal is no lapse.

        :param notices: All notices since the read before, in the order in which they were written.
        :param since: Time that the read before was sent, in seconds.
        :param now: Time that this read ended.
        """
        lapse_s = LAPSE_HEARTBEATS * self._heartbeat_s()
        interval_s = MIN_INTERVAL_SHARE * self._heartbeat_s()
        servers = [notice for notice in notices if isinstance(notice, ServerNotice)]
        left: set[str] = set()
        unproven: dict[str, str] = {}
        for notice, renewals_after in zip(servers, _renewals_after(servers), strict=True):
            written = self._written.pop(notice.server, None)
            if notice.entry is not None:
                self._wrote_at[notice.entry.data_centre] = now
                at = since
                if written is not None and _is_renewal(written[1], notice.entry):
                    at = max(since, written[0] + interval_s)
                self._written[notice.server] = (min(at, now), notice.entry)
                left.discard(notice.server)
            elif notice.removed and written is not None:
                removed_at = now - renewals_after * interval_s
                if removed_at - written[0] < lapse_s:
                    left.add(notice.server)
                else:
                    unproven[notice.server] = written[1].data_centre
        return left | self._find_served(unproven, now=now)

    def record_entries(self, notices: Sequence[Notice], *, snapshot: bool) -> None:
        """Record entries that do not tell when they were written.

        :param snapshot: Whether the notices are those of all listed servers.
        """
        if snapshot:
            self._written.clear()
        for notice in notices:
            if not isinstance(notice, ServerNotice):
                continue
            if notice.entry is None:
                self._written.pop(notice.server, None)
            else:
                self._written[notice.server] = (float("-inf"), notice.entry)

    def _find_served(self, removed: Mapping[str, str], *, now: float) -> set[str]:
        """Return the removed servers of other data centres that reach the store, as far as the
        latest notices tell.

        :param removed: Data centres of the servers whose removal may be a lapse.
        """
        if not removed:
            return set()
        lapse_s = LAPSE_HEARTBEATS * self._heartbeat_s()
        missing = Counter(removed.values())
        listed = Counter(
            entry.data_centre
            for server, (_, entry) in self._written.items()
            if server not in removed
        )
        served = {
            data_centre
            for data_centre, count in missing.items()
            if data_centre != self._data_centre
            and now - self._wrote_at.get(data_centre, float("-inf")) < lapse_s
            and listed[data_centre] > count
        }
        return {
            server
            for server, data_centre in removed.items()
            if data_centre in served and server not in self._written
        }


def _renewals_after(notices: Sequence[ServerNotice]) -> list[int]:
    """Return for each notice how often the most frequent writer renewed its entry after it."""
    following: dict[str, ServerEntry] = {}
    renewals: Counter[str] = Counter()
    most, result = 0, []
    for notice in reversed(notices):
        result.append(most)
        later = following.pop(notice.server, None)
        if notice.entry is None:
            continue
        if later is not None and _is_renewal(notice.entry, later):
            renewals[notice.server] += 1
            most = max(most, renewals[notice.server])
        following[notice.server] = notice.entry
    return result[::-1]


def _is_renewal(known: ServerEntry, entry: ServerEntry) -> bool:
    """Return whether an entry differs from the one before only in what each heartbeat changes."""
    return entry == known._replace(sequence=entry.sequence, cold_s=entry.cold_s)
