"""Finds the prompt parts that cause crashes of servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cornellead.gateway.quarantine._crash_report import CrashReport

MIN_CRASHES = 3
"""Crashes without an answer in between that a part needs if it was never answered."""
MIN_CRASHES_AFTER_ANSWER = 5
"""Crashes that a part needs if requests with it were answered before."""
MIN_OCCASIONS = 2
"""Separate moments of these crashes: servers of a rack or a data centre may crash together while a
popular part is at all of them."""
MIN_OCCASIONS_AFTER_ANSWER = 3
OCCASION_S = 0.25
"""Time within which crashes count as one occasion."""
SAME_CRASH_S = 1.5
"""Time within which reports on the same server are about the same crash: routers notice a crash
within a fraction of a second, and a server takes longer to start."""
MIN_UNEXPLAINED_CRASHES = 2
"""Crashes without a quarantined part in the request that a further part needs."""


class Culprit(NamedTuple):
    """A part that is blamed for crashes."""

    part: str
    crashes: int
    first_at: float
    last_at: float
    answered: bool
    """Whether requests with the part were answered before these crashes."""
    depth: int
    """Position of the part in the prompt."""


def find_culprits(
    evidence: Mapping[str, Sequence[CrashReport]],
    *,
    answered: Collection[str],
    quarantined: Collection[str],
    on_probation: Collection[str],
) -> list[Culprit]:
    """Return the parts that are to be quarantined, the most certain first.

    A part that crashes every server has no answer after its first crash, while a sound part that
    was at a crash by chance is answered elsewhere. The culprit's requests may share all their other
    parts, so of the parts of a request the one that was never answered is blamed, then the one with
    the most crashes, then the one that comes last and thus concerns the fewest requests.

    :param evidence: Reports since the latest answer, by part.
    :param answered: Parts of which an answer is known.
    :param quarantined: Parts that are quarantined already; they explain the crashes of their
        requests.
    :param on_probation: Parts whose quarantine has ended; a single crash suffices for them.
    """
    culprits: list[Culprit] = []
    explained_by = set(quarantined)
    while True:
        candidates = [
            culprit
            for part, reports in evidence.items()
            if part not in explained_by and reports
            if (culprit := _judge(part, reports, answered, explained_by, on_probation))
        ]
        if not candidates:
            return culprits
        best = min(candidates, key=lambda c: (c.answered, -c.crashes, -c.depth, c.part))
        culprits.append(best)
        explained_by.add(best.part)


def count_crashes(reports: Iterable[CrashReport]) -> int:
    """Return the number of crashes that the reports are about."""
    return len(_crash_times(reports))


def _judge(
    part: str,
    reports: Sequence[CrashReport],
    answered: Collection[str],
    explained_by: Collection[str],
    on_probation: Collection[str],
) -> Culprit | None:
    times = _crash_times(reports)
    answered_before = part in answered
    if part not in on_probation:
        min_crashes = MIN_CRASHES_AFTER_ANSWER if answered_before else MIN_CRASHES
        min_occasions = MIN_OCCASIONS_AFTER_ANSWER if answered_before else MIN_OCCASIONS
        if len(times) < min_crashes or _count_occasions(times) < min_occasions:
            return None
        unexplained = [r for r in reports if not set(explained_by).intersection(r.parts)]
        if count_crashes(unexplained) < MIN_UNEXPLAINED_CRASHES:
            return None
    depth = max(report.parts.index(part) for report in reports)
    return Culprit(part, len(times), times[0], times[-1], answered_before, depth)


def _crash_times(reports: Iterable[CrashReport]) -> list[float]:
    """Return the times of the crashes, where reports on a server within a short time are one."""
    latest: dict[int, float] = {}
    times = []
    for report in sorted(reports, key=lambda report: report.at):
        previous = latest.get(report.server)
        if previous is None or report.at - previous > SAME_CRASH_S:
            times.append(report.at)
            latest[report.server] = report.at
    return times


def _count_occasions(times: Sequence[float]) -> int:
    occasions = 0
    started_at = float("-inf")
    for at in times:
        if at - started_at > OCCASION_S:
            occasions += 1
            started_at = at
    return occasions
