"""The other processes of the fleet as the host list shows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.placement import rank_members
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cornellead_core.platform import HostEntry


class Peers:
    """View of one host list from one process.

    :param hosts: The host list.
    :param name: Name of this process.
    :param dc: Data centre of this process.
    """

    def __init__(self, *, hosts: Sequence[HostEntry], name: str, dc: str) -> None:
        self.name = name
        self.dc = dc
        self._by_name = {host.name: host for host in hosts}
        self._live = [host for host in hosts if host.state is HostState.LIVE]
        self._ranks: dict[tuple[str, str | None], int] = {}
        self.near = [host for host in self._live if host.dc == dc and host.name != name]
        """Live processes of the same data centre, without this one."""
        self.far = [host for host in self._live if host.dc != dc]
        """Live processes of other data centres."""

    def __len__(self) -> int:
        return len(self.near) + len(self.far)

    def find(self, name: str) -> HostEntry | None:
        """Return the entry of a process, live or leaving."""
        return self._by_name.get(name)

    def members(self, *, dc: str | None = None, kind: HostKind | None = None) -> list[HostEntry]:
        """Return the live processes of a data centre and kind, with this one if it is listed."""
        return [
            host
            for host in self._live
            if (dc is None or host.dc == dc) and (kind is None or host.kind is kind)
        ]

    def rank(self, key: str, *, dc: str | None = None) -> int:
        """Return the position of this process among the live ones, from 0.

        A process that is not listed comes after all others, so that it never takes a role from
        one that the rest of the fleet can reach.
        """
        known = self._ranks.get((key, dc))
        if known is None:
            names = [host.name for host in self.members(dc=dc)]
            listed = self.name in names
            known = rank_members(key, names).index(self.name) if listed else len(names)
            self._ranks[key, dc] = known
        return known

    def sample(self, rng: random.Random, *, near: int, far: int) -> list[HostEntry]:
        """Choose random live peers; peers that one kind lacks come from the other.

        :param near: Number of peers of this data centre.
        :param far: Number of peers of other data centres.
        """
        near_missing = max(0, near - len(self.near))
        far_missing = max(0, far - len(self.far))
        near_count = min(near + far_missing, len(self.near))
        far_count = min(far + near_missing, len(self.far))
        return rng.sample(self.near, near_count) + rng.sample(self.far, far_count)
