"""Topology of the load exchange: the peers of an agent in a round."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.placement import rank_members

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

MAX_GROUP_SIZE = 8
"""Agents per reporter; with 16, a round takes twice as long within the same byte budget."""
MAX_MESH_SIZE = 16
"""Largest fleet in which all agents exchange pairwise."""


class Member(NamedTuple):
    """Agent of an engine in the host list."""

    name: str
    dc: str


class RoundPlan(NamedTuple):
    """Role of one agent in a round.

    In a small fleet, all agents exchange pairwise (a full mesh). A larger fleet forms a tree:
    members of a group report to its reporter, reporters send the group's summary to the head of
    their data centre, which is the reporter of its first group, and heads exchange pairwise.
    """

    mesh: bool
    """Whether the fleet is a full mesh; only `peers` and `exchanges` are then set."""
    group: int = 0
    group_members: tuple[str, ...] = ()
    reporter: str = ""
    """Reporter of this agent's group; its own name when it is the reporter."""
    head: str = ""
    """Head of this agent's data centre."""
    peers: tuple[str, ...] = ()
    """Agents to send requests to in a mesh or as head; one side of each pair sends it."""
    exchanges: int = 0
    """Exchanges per round of this agent or of the peer it sends to, whichever has more."""


def plan_round(
    *, name: str, dc: str, members: Sequence[Member], failed: Collection[str] = ()
) -> RoundPlan:
    """Return the role of an agent in a round, computed from the host list.

    :param name: The agent itself, which may be missing from the host list.
    :param failed: Agents that did not reply; they are not chosen as reporter while others are left.

    >>> plan_round(name="a", dc="x", members=[Member("a", "x"), Member("b", "y")]).peers
    ('b',)
    """
    by_dc: dict[str, list[str]] = {dc: [name]}
    for member in members:
        names = by_dc.setdefault(member.dc, [])
        if member.name not in names:
            names.append(member.name)
    count = sum(len(names) for names in by_dc.values())
    if count <= MAX_MESH_SIZE:
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
    # The interval follows from the busier side of a link, so that no reporter exceeds its budget.
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
    """Split the agents of a data centre, in order of name, into groups of nearly equal size.

    >>> [len(group) for group in split_groups([f"s{n:02}" for n in range(17)])]
    [6, 6, 5]
    """
    ordered = sorted(names)
    count = -(-len(ordered) // MAX_GROUP_SIZE)
    size, extra = divmod(len(ordered), count)
    starts = [index * size + min(index, extra) for index in range(count + 1)]
    return [ordered[start:end] for start, end in itertools.pairwise(starts)]


def choose_reporter(dc: str, group: int, members: Sequence[str], failed: Collection[str]) -> str:
    """Return the highest-ranked agent that has not failed, or the highest-ranked one if all have.

    :param group: Index of the group in its data centre.
    """
    ranked = rank_members(f"reporter/{dc}/{group}", members)
    return next((member for member in ranked if member not in failed), ranked[0])
