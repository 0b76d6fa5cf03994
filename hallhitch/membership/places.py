"""A gateway's place in each server's own order of the gateways, by names: rendezvous hashing, kept up to date.

A server's order depends on nothing but names, so views that differ by a few members give places that differ by a few,
and one that joins or leaves moves only the places behind its own. A change costs one hash a server.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

SERVERS_MOST = 8_192  # servers whose places are kept; past that they are counted anew


def weight(server: str, gateway: str) -> int:
    """64 bits, even over servers and gateways."""
    return xxhash.xxh3_64_intdigest(f"{server}\0{gateway}".encode())


class Places:
    """The places of one gateway among those that count."""

    def __init__(self, me: str) -> None:
        self._me = me
        self.names: frozenset[str] = frozenset((me,))
        self._ranks: dict[str, tuple[int, int]] = {}  # by server: own weight, and how many are before it

    def become(self, me: str) -> None:
        """Be placed under another name."""
        if me != self._me:
            self._me, self.names = me, (self.names - {self._me}) | {me}
            self._ranks.clear()

    def follow(self, names: Iterable[str]) -> None:
        """Count these from now on, and always this gateway itself."""
        names = frozenset(names) | {self._me}
        come, gone = names - self.names, self.names - names
        self.names = names
        if len(come) + len(gone) > len(names):
            self._ranks.clear()
        for server, (mine, rank) in self._ranks.items():
            rank += sum((weight(server, one), one) > (mine, self._me) for one in come)
            rank -= sum((weight(server, one), one) > (mine, self._me) for one in gone)
            self._ranks[server] = mine, rank

    def rank(self, server: str) -> int:
        """This gateway's place in a server's order, from 0."""
        held = self._ranks.get(server)
        if held is None:
            if len(self._ranks) >= SERVERS_MOST:
                self._ranks.clear()
            mine = weight(server, self._me)
            rank = sum((weight(server, one), one) > (mine, self._me) for one in self.names if one != self._me)
            held = self._ranks[server] = mine, rank
        return held[1]
