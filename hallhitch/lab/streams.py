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
        """Draw a number from 0 (inclusive) to 1 (exclusive)."""
        if not self._uniform:
            self._uniform = self.numbers.random(self.BLOCK).tolist()
        return self._uniform.pop()

    def uniform(self, low: float, high: float) -> float:
        """Draw a number evenly between two bounds."""
        return low + (high - low) * self.random()

    def exponential(self, mean: float) -> float:
        """Draw the time to the next event of a Poisson process."""
        if not self._exponential:
            self._exponential = self.numbers.standard_exponential(self.BLOCK).tolist()
        return mean * self._exponential.pop()

    def chance(self, probability: float) -> bool:
        """Draw whether an event of this probability happens."""
        return self.random() < probability

    def sample(self, items: Iterable[T], ratio: float) -> list[T]:
        """Draw a part of the items without replacement, at least one if there is any, in the order of the draws."""
        remaining = list(items)
        count = min(len(remaining), max(1, round(ratio * len(remaining))))
        return [remaining.pop(self.index(len(remaining))) for _ in range(count)]

    def index(self, count: int) -> int:
        """Draw an index below a count."""
        return int(self.random() * count)


class Streams:
    """The independent streams of a run, by name."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def of(self, name: str) -> Stream:
        """Make the stream of a part of the run: the same seed and name give the same numbers."""
        return Stream(self._seed, name)
