"""Finds the prompt parts that cause crashes of servers."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable
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
    candidates: Collection[str],
    *,
    evidence: Callable[[str], Sequence[CrashReport]],
    answered: Callable[[str], bool],
    quarantined: Collection[str],
    on_probation: Collection[str],
) -> list[Culprit]:
    """Return the parts that are to be quarantined, the most certain first.

    A part that crashes every server has no answer after its first crash, while a sound part that
    was at a crash by chance is answered elsewhere. The culprit's requests may share all their other
    parts, so of the parts of a request the one that was never answered is blamed, then the one with
    the most crashes, then the one that comes last and thus concerns the fewest requests. A crash at
    which a culprit was present is no evidence against other parts.

    :param candidates: Parts to be judged.
    :param evidence: Returns the reports on a part since its latest answer.
    :param answered: Returns whether an answer to a request with a part is known.
    :param quarantined: Parts that are quarantined already.
    :param on_probation: Parts whose quarantine has ended; a single crash suffices for them.
    """
    culprits: list[Culprit] = []
    explaining = [evidence(part) for part in quarantined]
    undecided = set(candidates) - set(quarantined)
    while True:
        explained = _times_by_server(chain.from_iterable(explaining))
        judged = (
            _judge(
                part,
                [report for report in evidence(part) if not _is_explained(report, explained)],
                answered(part),
                part in on_probation,
            )
            for part in undecided
        )
        found = [culprit for culprit in judged if culprit is not None]
        if not found:
            return culprits
        best = min(found, key=lambda c: (c.answered, -c.crashes, -c.depth, c.part))
        culprits.append(best)
        undecided.discard(best.part)
        explaining.append(evidence(best.part))


def is_blamable(part: str, reports: Sequence[CrashReport], *, answered: bool) -> bool:
    """Return whether reports on a part suffice to quarantine it if nothing else explains them."""
    return _judge(part, reports, answered, on_probation=False) is not None


def count_crashes(reports: Iterable[CrashReport]) -> int:
    """Return the number of crashes that the reports are about."""
    return len(_crash_times(reports))


def _judge(
    part: str, reports: Sequence[CrashReport], answered_before: bool, on_probation: bool
) -> Culprit | None:
    times = _crash_times(reports)
    min_crashes = MIN_CRASHES_AFTER_ANSWER if answered_before else MIN_CRASHES
    min_occasions = MIN_OCCASIONS_AFTER_ANSWER if answered_before else MIN_OCCASIONS
    enough = len(times) >= min_crashes and _count_occasions(times) >= min_occasions
    if not times or not (enough or on_probation):
        return None
    depth = max(report.parts.index(part) for report in reports)
    return Culprit(part, len(times), times[0], times[-1], answered_before, depth)


def _times_by_server(reports: Iterable[CrashReport]) -> dict[int, list[float]]:
    times: dict[int, list[float]] = {}
    for report in reports:
        times.setdefault(report.server, []).append(report.at)
    return times


def _is_explained(report: CrashReport, explained: Mapping[int, Sequence[float]]) -> bool:
    return any(abs(report.at - at) <= SAME_CRASH_S for at in explained.get(report.server, ()))


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
