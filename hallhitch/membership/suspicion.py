"""How long a suspected member has to refute: the less the more others accuse it on their own."""

from __future__ import annotations

import math

CONFIRMATIONS = 3  # independent accusers past the first that shrink the time to its least
FAILURE = 2  # accusers that a failure told by somebody counts as: that one waited already


class Suspicion:
    """One suspicion, from its first accuser on."""

    __slots__ = ("began", "least", "most", "accusers", "confirmed", "_wanted")

    def __init__(self, now: float, least: float, most: float, others: int) -> None:
        """`others` are the members that could accuse it besides the first."""
        self.began, self.least, self.most = now, least, most
        self.accusers: set[int] = set()
        self.confirmed = -1  # accusers past the first
        self._wanted = CONFIRMATIONS if others >= CONFIRMATIONS else 0

    def accuse(self, by: int, weight: int = 1) -> bool:
        """Somebody accuses it; whether that is news worth passing on."""
        if by in self.accusers or self.confirmed >= max(1, self._wanted):
            return False
        self.accusers.add(by)
        self.confirmed += weight
        return True

    @property
    def ends(self) -> float:
        """When it is failed, if nothing is heard of it until then."""
        if not self._wanted:
            return self.began + self.least
        share = math.log(max(0, self.confirmed) + 1) / math.log(self._wanted + 1)
        return self.began + max(self.least, self.most - (self.most - self.least) * share)
