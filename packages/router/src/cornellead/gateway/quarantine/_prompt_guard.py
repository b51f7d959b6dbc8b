"""Decides which requests are refused because of a part of their prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.gossip import OWN_ROUNDS
from cornellead.gateway.gossip import RELAY_ROUNDS
from cornellead.gateway.gossip import SendQueue
from cornellead.gateway.quarantine._crash_history import NEVER
from cornellead.gateway.quarantine._crash_history import CrashHistory
from cornellead.gateway.quarantine._crash_history import union_of_parts
from cornellead.gateway.quarantine._crash_report import CrashReport
from cornellead.gateway.quarantine._culprits import MIN_CRASHES_AFTER_ANSWER
from cornellead.gateway.quarantine._culprits import count_crashes
from cornellead.gateway.quarantine._culprits import find_culprits
from cornellead.gateway.quarantine._culprits import is_blamable
from cornellead.gateway.quarantine._evidence import AnswerItem
from cornellead.gateway.quarantine._evidence import CrashItem
from cornellead.gateway.quarantine._evidence import Evidence
from cornellead.gateway.quarantine._evidence import QuarantineItem
from cornellead.gateway.quarantine._quarantined_part import QuarantinedPart
from cornellead_core.placement import rank_members

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead.gateway.quarantine._culprits import Culprit

MAX_QUARANTINED = 256
"""Capacity in quarantined parts; the one that ends first is evicted."""
REPEAT_INTERVAL_S = 1.0
"""Interval at which some quarantined parts are sent again, for routers that started or were cut
off."""
MAX_REPEATED = 4
MAX_LOGGED_PARTS = 8
TRIAL_S = 5.0
"""Time after which a trial of a part on probation that brought no answer may be repeated."""


class PromptGuard:
    """Quarantines the parts of prompts that crash servers.

    A single request can end a server, so requests with such a part are refused before they reach
    one. Each router sees only a few crashes, so routers exchange reports of crashes and answers;
    the first one with enough evidence quarantines the part and tells the others.

    :param router: Name of this router.
    """

    def __init__(self, *, router: str) -> None:
        self._router = router
        self._history = CrashHistory()
        self._quarantined: dict[str, QuarantinedPart] = {}
        self._trial_at: dict[str, float] = {}
        self._crash_queue = SendQueue[int]()
        self._answer_queue = SendQueue[str]()
        self._quarantine_queue = SendQueue[str]()
        self._repeated_at = 0.0
        self._repeat_position = 0

    def quarantined(self, *, now: float) -> list[QuarantinedPart]:
        """Return the parts in quarantine or on probation.

        :param now: Seconds.
        """
        self._forget_expired(now)
        return list(self._quarantined.values())

    def find_refused(
        self, parts: Sequence[str], *, routers: Sequence[str], now: float
    ) -> QuarantinedPart | None:
        """Return the part because of which a request is refused, or ``None`` to let it through.

        Of the requests with a part on probation, the first router in rendezvous order for the part
        lets through one at a time.

        :param parts: Keys of the prompt's parts without the last one.
        :param routers: Names of the running routers.
        """
        for part in parts:
            held = self._quarantined.get(part)
            if held is None or now >= held.forgotten_at:
                continue
            if now < held.until or not self._start_trial(part, routers, now):
                return held
        return None

    def count_crashes(self, parts: Sequence[str]) -> int:
        """Return the most crashes that a part of the request has had since its latest answer."""
        return max((count_crashes(self._history.evidence(part)) for part in parts), default=0)

    def was_answered(self, part: str) -> bool:
        """Return whether a request with the part was answered."""
        return self._history.was_answered(part)

    def record_crash(self, reports: Sequence[CrashReport], *, now: float) -> None:
        """Add the reports of this router on one crash."""
        added = [report for report in reports if self._history.add(report)]
        for report in added:
            self._crash_queue.put(report.request, rounds=OWN_ROUNDS)
        self._quarantine_culprits(added, now=now)

    def record_answer(self, parts: Sequence[str], *, now: float) -> None:
        """Record that a server began to answer a request and survived that."""
        unexplained: list[CrashReport] = []
        for part in parts:
            unexplained += self._record_part_answer(
                part, at=now, rounds=OWN_ROUNDS, source=self._router
            )
        if unexplained:
            self._quarantine_culprits(unexplained, now=now)

    def restore(self, held: QuarantinedPart, *, source: str) -> bool:
        """Add a quarantine that another router or the store knows.

        It is ignored if a later answer is known, or if the evidence for it does not suffice for a
        part that was answered before.

        :returns: Whether it was added.
        """
        if self._refutes(held):
            self._answer_queue.put(held.part, rounds=OWN_ROUNDS)
            return False
        known = self._quarantined.get(held.part)
        if known is not None and known.strikes >= held.strikes:
            return False
        self._hold(held)
        self._quarantine_queue.put(held.part, rounds=RELAY_ROUNDS)
        structlog.get_logger().info("quarantine learned", source=source, **_log_fields(held))
        return True

    @property
    def has_new_evidence(self) -> bool:
        """Whether there is something to tell that was in no message yet."""
        queues = (self._crash_queue, self._answer_queue, self._quarantine_queue)
        return any(queue.has_new for queue in queues)

    def make_evidence(self, *, now: float) -> Evidence | None:
        """Return the next message to other routers; ``None`` if there is nothing to tell."""
        self._forget_expired(now)
        self._repeat_quarantines(now)
        crashes = [
            CrashItem(r.request, r.server, r.parts, max(0.0, now - r.at))
            for key in self._crash_queue.take()
            if (r := self._history.get(key))
        ]
        answers = [
            AnswerItem(part, max(0.0, now - self._history.answered_at(part)))
            for part in self._answer_queue.take()
            if self._history.was_answered(part)
        ]
        quarantined = [
            QuarantineItem(part, held.strikes, held.crashes, max(0.0, now - held.since))
            for part in self._quarantine_queue.take()
            if (held := self._quarantined.get(part))
        ]
        if not crashes and not answers and not quarantined:
            return None
        return Evidence(self._router, crashes, answers, quarantined)

    def apply_evidence(self, evidence: Evidence, *, now: float) -> None:
        """Apply a message of another router."""
        unexplained: list[CrashReport] = []
        for answer in evidence.answers:
            unexplained += self._record_part_answer(
                answer.part, at=now - answer.age_s, rounds=RELAY_ROUNDS, source=evidence.router
            )
        added = []
        for item in evidence.crashes:
            report = CrashReport(item.request, item.server, item.parts, now - item.age_s)
            if self._history.add(report):
                added.append(report)
                self._crash_queue.put(report.request, rounds=RELAY_ROUNDS)
        for part in union_of_parts(added):
            if self._history.was_answered(part):
                self._answer_queue.put(part, rounds=OWN_ROUNDS)
        if added:
            structlog.get_logger().info(
                "crashes reported",
                source=evidence.router,
                requests=len(added),
                max_age_s=round(max(now - report.at for report in added), 2),
                unanswered_parts=sorted(
                    part for part in union_of_parts(added) if not self.was_answered(part)
                )[:MAX_LOGGED_PARTS],
            )
        learned = [
            self.restore(
                QuarantinedPart(held.part, held.strikes, held.crashes, now - held.age_s),
                source=evidence.router,
            )
            for held in evidence.quarantined
        ]
        if added or unexplained or any(learned):
            self._quarantine_culprits([*added, *unexplained], now=now)

    def _refutes(self, held: QuarantinedPart) -> bool:
        """Return whether a known answer speaks against a quarantine."""
        if self._history.answered_at(held.part) >= held.since:
            return True
        return self.was_answered(held.part) and held.crashes < MIN_CRASHES_AFTER_ANSWER

    def _record_part_answer(
        self, part: str, *, at: float, rounds: int, source: str
    ) -> Sequence[CrashReport]:
        """Record an answer to requests with a part.

        :returns: The reports that a quarantine explained which the answer has ended.
        """
        reports = self._history.evidence(part)
        refuted = self._history.record_answer(part, at=at)
        held = self._quarantined.get(part)
        lifted = held is not None and self._refutes(held)
        if held is not None and lifted:
            del self._quarantined[part]
            structlog.get_logger().info("quarantine lifted", source=source, **_log_fields(held))
        # A popular part is answered all the time, and only the first answer after a crash counts.
        if refuted or lifted:
            self._answer_queue.put(part, rounds=rounds)
        return reports if lifted else ()

    def _quarantine_culprits(self, added: Sequence[CrashReport], *, now: float) -> None:
        """Quarantine parts of new reports if the evidence suffices, and judge again which of the
        parts in quarantine the evidence is for."""
        held = {part for part, entry in self._quarantined.items() if now < entry.until}
        probation = {part: entry.until for part, entry in self._quarantined.items()}

        def evidence(part: str) -> list[CrashReport]:
            counted_from = probation.get(part, NEVER) if part not in held else NEVER
            return [r for r in self._history.evidence(part) if r.at > counted_from]

        # Routers learn of crashes in any order, so a part may be blamed before the culprit.
        open_cases = {
            part
            for part in held
            if is_blamable(part, evidence(part), answered=self.was_answered(part))
        }
        culprits = find_culprits(
            union_of_parts(added) | open_cases,
            evidence=evidence,
            answered=self.was_answered,
            quarantined=held - open_cases,
            on_probation=set(probation) - held,
        )
        for culprit in culprits:
            if culprit.part not in held:
                self._quarantine(culprit, now=now)
        for part in open_cases.difference(culprit.part for culprit in culprits):
            self._withdraw(part, culprits)

    def _quarantine(self, culprit: Culprit, *, now: float) -> None:
        previous = self._quarantined.get(culprit.part)
        entry = QuarantinedPart(
            culprit.part,
            strikes=1 if previous is None else previous.strikes + 1,
            crashes=culprit.crashes + (0 if previous is None else previous.crashes),
            since=culprit.last_at,
        )
        self._hold(entry)
        self._quarantine_queue.put(entry.part, rounds=OWN_ROUNDS)
        structlog.get_logger().warning(
            "part quarantined",
            answered_before=culprit.answered,
            first_crash_age_s=round(now - culprit.first_at, 2),
            decided_after_s=round(now - culprit.last_at, 2),
            **_log_fields(entry),
        )

    def _withdraw(self, part: str, culprits: Sequence[Culprit]) -> None:
        """End a quarantine whose crashes other parts explain, and tell the reports that show it."""
        entry = self._quarantined.pop(part)
        for culprit in culprits:
            for report in self._history.evidence(culprit.part):
                self._crash_queue.put(report.request, rounds=OWN_ROUNDS)
        structlog.get_logger().info(
            "quarantine withdrawn",
            explained_by=[culprit.part for culprit in culprits][:MAX_LOGGED_PARTS],
            **_log_fields(entry),
        )

    def _hold(self, entry: QuarantinedPart) -> None:
        self._quarantined[entry.part] = entry
        if len(self._quarantined) > MAX_QUARANTINED:
            first = min(self._quarantined.values(), key=lambda held: held.until)
            del self._quarantined[first.part]

    def _start_trial(self, part: str, routers: Sequence[str], now: float) -> bool:
        if rank_members(part, sorted({*routers, self._router}))[0] != self._router:
            return False
        if now - self._trial_at.get(part, NEVER) < TRIAL_S:
            return False
        self._trial_at[part] = now
        return True

    def _repeat_quarantines(self, now: float) -> None:
        if not self._quarantined or now - self._repeated_at < REPEAT_INTERVAL_S:
            return
        self._repeated_at = now
        parts = sorted(self._quarantined)
        for offset in range(min(MAX_REPEATED, len(parts))):
            part = parts[(self._repeat_position + offset) % len(parts)]
            self._quarantine_queue.put(part, rounds=1)
        self._repeat_position += MAX_REPEATED

    def _forget_expired(self, now: float) -> None:
        for part in [p for p, held in self._quarantined.items() if now >= held.forgotten_at]:
            del self._quarantined[part]
            self._trial_at.pop(part, None)
        self._history.remove_expired(now=now)


def _log_fields(held: QuarantinedPart) -> dict[str, object]:
    return {
        "part": held.part,
        "crashes": held.crashes,
        "strikes": held.strikes,
        "duration_s": held.until - held.since,
    }
