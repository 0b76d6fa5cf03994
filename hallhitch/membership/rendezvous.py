"""Rank of one gateway in each server's order of the gateways, by rendezvous hashing of names, updated incrementally.

A server's order depends only on the names. Views that differ by a few members give ranks that differ by a few, and a
gateway that joins or leaves changes only the ranks behind its own. A change costs one hash per cached server.

Source: Thaler, Ravishankar: Using name-based mappings to increase hit rates (1998).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

import xxhash

MAX_CACHED_RANKS: Final = 8_192  # one per server; when the cache is full, it is cleared and ranks are recomputed


class CachedRank(NamedTuple):
    """This gateway's weight for a server, and the number of gateways that precede it."""

    weight: int
    rank: int


def weight(server: str, gateway: str) -> int:
    """Return a 64-bit hash of a server and a gateway; a server ranks the gateways by descending weight."""
    return xxhash.xxh3_64_intdigest(f"{server}\0{gateway}".encode())


class RendezvousRanking:
    """The ranks of one gateway among all that count for placement."""

    def __init__(self, local_name: str) -> None:
        self._local_name = local_name
        self.gateways: frozenset[str] = frozenset((local_name,))
        self._ranks: dict[str, CachedRank] = {}  # by server

    def rename(self, local_name: str) -> None:
        """Change the name under which this gateway is ranked."""
        if local_name != self._local_name:
            self.gateways = (self.gateways - {self._local_name}) | {local_name}
            self._local_name = local_name
            self._ranks.clear()

    def set_gateways(self, names: Iterable[str]) -> None:
        """Replace the ranked gateways; this gateway is always one of them."""
        names = frozenset(names) | {self._local_name}
        joined, left = names - self.gateways, self.gateways - names
        self.gateways = names
        if len(joined) + len(left) > len(names):
            self._ranks.clear()
        for server, cached in self._ranks.items():
            change = self._count_preceding(server, cached.weight, joined)
            change -= self._count_preceding(server, cached.weight, left)
            self._ranks[server] = CachedRank(cached.weight, cached.rank + change)

    def rank(self, server: str) -> int:
        """Return this gateway's rank in a server's order, from 0."""
        cached = self._ranks.get(server)
        if cached is None:
            if len(self._ranks) >= MAX_CACHED_RANKS:
                self._ranks.clear()
            local_weight = weight(server, self._local_name)
            rank = self._count_preceding(server, local_weight, self.gateways - {self._local_name})
            cached = self._ranks[server] = CachedRank(local_weight, rank)
        return cached.rank

    def _count_preceding(self, server: str, local_weight: int, names: frozenset[str]) -> int:
        local = local_weight, self._local_name
        return sum((weight(server, name), name) > local for name in names)
