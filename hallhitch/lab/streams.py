"""Random numbers: a stream for each part of the world, all from one seed.

A part draws from its own stream alone, so a change in one part leaves the draws of the others as they were: two
settings under one seed meet the same traffic and the same faults.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import numpy as np
from xxhash import xxh64_intdigest

T = TypeVar("T")


class Stream:
    """One part's numbers. Draws come in blocks: a single draw of numpy costs a microsecond."""

    BLOCK = 1024

    def __init__(self, seed: int, name: str) -> None:
        entropy = np.random.SeedSequence([seed, xxh64_intdigest(name.encode())])
        self.numbers = np.random.Generator(np.random.PCG64(entropy))
        self._uniform: list[float] = []
        self._exponential: list[float] = []

    def random(self) -> float:
        """From 0 up to 1."""
        if not self._uniform:
            self._uniform = self.numbers.random(self.BLOCK).tolist()
        return self._uniform.pop()

    def uniform(self, low: float, high: float) -> float:
        """Evenly between two figures."""
        return low + (high - low) * self.random()

    def exponential(self, mean: float) -> float:
        """The time to the next of events that come at random."""
        if not self._exponential:
            self._exponential = self.numbers.standard_exponential(self.BLOCK).tolist()
        return mean * self._exponential.pop()

    def chance(self, share: float) -> bool:
        """Whether something of this chance happens."""
        return self.random() < share

    def sample(self, things: Iterable[T], part: float) -> list[T]:
        """A part of things, one at least if there is any, in the order in which they were drawn."""
        left = list(things)
        count = min(len(left), max(1, round(part * len(left))))
        return [left.pop(self.index(len(left))) for _ in range(count)]

    def index(self, count: int) -> int:
        """One of so many."""
        return int(self.random() * count)


class Streams:
    """Streams by name."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def of(self, name: str) -> Stream:
        """The stream of one part: the same seed and name give the same numbers."""
        return Stream(self._seed, name)
