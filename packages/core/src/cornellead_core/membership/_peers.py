"""Peers of a process according to the host list."""

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
    """View of a host list from one of its processes.

    :param hosts: Entries of the host list, live and leaving.
    :param name: Name of this process, which may not be listed yet.
    :param dc: Data centre of this process.
    """

    def __init__(self, *, hosts: Sequence[HostEntry], name: str, dc: str) -> None:
        self.name = name
        self.dc = dc
        self._by_name = {host.name: host for host in hosts}
        self._live = [host for host in hosts if host.state is HostState.LIVE]
        self._rank_cache: dict[tuple[str, str | None], int] = {}
        self.local_peers = [host for host in self._live if host.dc == dc and host.name != name]
        """Other live processes of this data centre."""
        self.remote_peers = [host for host in self._live if host.dc != dc]
        """Live processes of other data centres."""

    def __len__(self) -> int:
        return len(self.local_peers) + len(self.remote_peers)

    def find(self, name: str) -> HostEntry | None:
        """Return the entry of a live or leaving process, or ``None`` if it is not listed."""
        return self._by_name.get(name)

    def members(self, *, dc: str | None = None, kind: HostKind | None = None) -> list[HostEntry]:
        """Return the live processes of a data centre and kind, including this one if it is live."""
        return [
            host
            for host in self._live
            if (dc is None or host.dc == dc) and (kind is None or host.kind is kind)
        ]

    def rank(self, key: str, *, dc: str | None = None) -> int:
        """Return the rendezvous rank of this process for a key among the live ones, from 0.

        A process that is not live in the host list ranks last, so it is never assigned a role
        instead of a process that the rest of the fleet can reach.

        :param dc: Data centre whose processes are ranked; by default, all.
        """
        cached_rank = self._rank_cache.get((key, dc))
        if cached_rank is None:
            names = [host.name for host in self.members(dc=dc)]
            is_live = self.name in names
            cached_rank = rank_members(key, names).index(self.name) if is_live else len(names)
            self._rank_cache[key, dc] = cached_rank
        return cached_rank

    def sample(self, rng: random.Random, *, near: int, far: int) -> list[HostEntry]:
        """Return a random sample of live peers without repetition.

        If this data centre has too few peers, others make up the difference, and vice versa.

        :param near: Number of peers from this data centre.
        :param far: Number of peers from other data centres.
        """
        near_missing = max(0, near - len(self.local_peers))
        far_missing = max(0, far - len(self.remote_peers))
        near_count = min(near + far_missing, len(self.local_peers))
        far_count = min(far + near_missing, len(self.remote_peers))
        return rng.sample(self.local_peers, near_count) + rng.sample(self.remote_peers, far_count)
