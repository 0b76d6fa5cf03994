"""Independent streams of random numbers, one for each part of the simulation, all derived from one seed.

Each part draws from its own stream only, so a change in one part does not change the draws of another: two settings
under one seed get the same traffic and the same faults.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import numpy as np
from xxhash import xxh64_intdigest

T = TypeVar("T")


class Stream:
    """A stream of random numbers, drawn in blocks because a single draw of numpy costs a microsecond."""

    BLOCK = 1024

    def __init__(self, seed: int, name: str) -> None:
        entropy = np.random.SeedSequence([seed, xxh64_intdigest(name.encode())])
        self.numbers = np.random.Generator(np.random.PCG64(entropy))
        self._uniform: list[float] = []
        self._exponential: list[float] = []

    def random(self) -> float:
        """Draw a uniform number from 0 (inclusive) to 1 (exclusive)."""
        if not self._uniform:
            self._uniform = self.numbers.random(self.BLOCK).tolist()
        return self._uniform.pop()

    def uniform(self, low: float, high: float) -> float:
        """Draw a uniform number between two bounds."""
        return low + (high - low) * self.random()

    def exponential(self, mean: float) -> float:
        """Draw from an exponential distribution: the time to the next event of a Poisson process."""
        if not self._exponential:
            self._exponential = self.numbers.standard_exponential(self.BLOCK).tolist()
        return mean * self._exponential.pop()

    def chance(self, probability: float) -> bool:
        """Draw a boolean that is true with this probability."""
        return self.random() < probability

    def sample(self, items: Iterable[T], ratio: float) -> list[T]:
        """Draw a ratio of the items without replacement, at least one if there are any, in the order of the draws."""
        remaining = list(items)
        count = min(len(remaining), max(1, round(ratio * len(remaining))))
        return [remaining.pop(self.index(len(remaining))) for _ in range(count)]

    def index(self, count: int) -> int:
        """Draw an integer from 0 to `count` - 1."""
        return int(self.random() * count)


class Streams:
    """The independent streams of a run, by name."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def of(self, name: str) -> Stream:
        """Create the stream of this name; the same seed and name give the same numbers."""
        return Stream(self._seed, name)
