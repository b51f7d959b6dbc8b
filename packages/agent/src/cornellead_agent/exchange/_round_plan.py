"""Who exchanges load with whom."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.placement import rank_members

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

MAX_GROUP = 8
"""Agents that share a reporter; with 16 its rounds take twice as long within the same bytes."""
MAX_MESH = 16
"""Largest fleet in which each agent exchanges with each other directly."""


class Member(NamedTuple):
    """An engine's agent as the host list names it."""

    name: str
    dc: str


class RoundPlan(NamedTuple):
    """Part of one agent in a round.

    In a small fleet agents exchange pairwise. In a larger one, members report to the reporter of
    their group, reporters to that of the first group of their data centre (its head), and heads
    exchange pairwise.
    """

    mesh: bool
    group: int = 0
    group_members: tuple[str, ...] = ()
    reporter: str = ""
    """Reporter of this agent's group; its own name when it is the reporter."""
    head: str = ""
    """Head of this agent's data centre."""
    peers: tuple[str, ...] = ()
    """Agents to exchange with; each pair is planned on one side only."""
    exchanges: int = 0
    """Exchanges of a round in which the busier side of this agent's link takes part."""


def plan_round(
    *, name: str, dc: str, members: Sequence[Member], failed: Collection[str] = ()
) -> RoundPlan:
    """Plan a round from the host list.

    :param failed: Agents that did not answer; they are not chosen as reporter.

    >>> plan_round(name="a", dc="x", members=[Member("a", "x"), Member("b", "y")]).peers
    ('b',)
    """
    by_dc: dict[str, list[str]] = {dc: [name]}
    for member in members:
        names = by_dc.setdefault(member.dc, [])
        if member.name not in names:
            names.append(member.name)
    count = sum(len(names) for names in by_dc.values())
    if count <= MAX_MESH:
        others = [other for names in by_dc.values() for other in names if other != name]
        peers = tuple(other for other in others if other > name)
        return RoundPlan(mesh=True, peers=peers, exchanges=len(others))
    return _plan_tree(name, dc, by_dc, failed)


def _plan_tree(
    name: str, dc: str, by_dc: dict[str, list[str]], failed: Collection[str]
) -> RoundPlan:
    groups = split_groups(by_dc[dc])
    group = next(index for index, names in enumerate(groups) if name in names)
    reporter = choose_reporter(dc, group, groups[group], failed)
    head = choose_reporter(dc, 0, groups[0], failed)
    heads = [
        choose_reporter(other, 0, split_groups(names)[0], failed)
        for other, names in by_dc.items()
        if other != dc
    ]
    # A round takes as long as the busier side needs, so that no reporter exceeds its budget.
    head_exchanges = len(groups[0]) - 1 + len(groups) - 1 + len(heads)
    if reporter in (name, head):
        exchanges = max(head_exchanges, len(groups[group]))
    else:
        exchanges = len(groups[group])
    return RoundPlan(
        mesh=False,
        group=group,
        group_members=tuple(groups[group]),
        reporter=reporter,
        head=head,
        peers=tuple(other for other in heads if other > name) if head == name else (),
        exchanges=exchanges,
    )


def split_groups(names: Sequence[str]) -> list[list[str]]:
    """Split the agents of a data centre into groups of equal size.

    >>> [len(group) for group in split_groups([f"s{n:02}" for n in range(17)])]
    [6, 6, 5]
    """
    ordered = sorted(names)
    count = -(-len(ordered) // MAX_GROUP)
    size, extra = divmod(len(ordered), count)
    starts = [index * size + min(index, extra) for index in range(count + 1)]
    return [ordered[start:end] for start, end in itertools.pairwise(starts)]


def choose_reporter(dc: str, group: int, members: Sequence[str], failed: Collection[str]) -> str:
    """Return the first agent by rank that answers, or the first when none does."""
    ranked = rank_members(f"reporter/{dc}/{group}", members)
    return next((member for member in ranked if member not in failed), ranked[0])
