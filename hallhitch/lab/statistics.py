"""Comparison of settings by paired seeds: bootstrap intervals (Efron 1979, percentile method) and verdicts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, Protocol

import numpy as np
from msgspec import Struct

from hallhitch.lab.errors import LabError
from hallhitch.lab.figures import Figures

BOOTSTRAP_DRAWS: Final = 4_000  # resamples of each interval
INTERVAL_PERCENTILES: Final = (2.5, 97.5)
MIN_PAIRS: Final = 5  # with fewer pairs, bootstrap intervals are too narrow for a verdict


class NoCommonSeedError(LabError, ValueError):
    """Two settings were compared whose results have no seed in common."""

    def __init__(self) -> None:
        super().__init__("the two settings have no seed in common")


class HasFigures(Protocol):
    """A run's result that can be compared by its figures."""

    @property
    def figures(self) -> Figures:
        """Return the figures of the run."""


class Interval(Struct, frozen=True):
    """A mean over seeds with its 95 % bootstrap confidence interval."""

    mean: float
    low: float
    high: float
    count: int

    def __str__(self) -> str:
        return f"{self.mean:.4f} ({self.low:.4f} to {self.high:.4f})"


class Comparison(Struct, frozen=True):
    """The difference of the second setting from the first, over the seeds that both have."""

    difference: Interval
    verdict: str  # of the second setting: better, worse or cannot tell


def bootstrap_interval(values: list[float]) -> Interval:
    """Compute the bootstrap interval of the mean; it is deterministic for given values."""
    numbers = np.asarray(values, dtype=float)
    rng = np.random.Generator(np.random.PCG64(len(values)))
    means = rng.choice(numbers, (BOOTSTRAP_DRAWS, len(numbers))).mean(axis=1)
    low, high = np.percentile(means, INTERVAL_PERCENTILES)
    return Interval(float(numbers.mean()), float(low), float(high), len(numbers))


def compare(
    first: Mapping[int, HasFigures],
    second: Mapping[int, HasFigures],
    figure: str = "service",
    more_is_better: bool = True,
) -> Comparison:
    """Compare two settings by paired seeds; with fewer than `MIN_PAIRS` pairs the verdict is "cannot tell".

    Raises:
        NoCommonSeedError: no seed has a result of both settings.
        AttributeError: `Figures` has no such field.
    """
    seeds = sorted(set(first) & set(second))
    if not seeds:
        raise NoCommonSeedError
    differences = [
        float(getattr(second[seed].figures, figure)) - float(getattr(first[seed].figures, figure)) for seed in seeds
    ]
    difference = bootstrap_interval(differences)
    if len(seeds) < MIN_PAIRS or difference.low <= 0 <= difference.high:
        return Comparison(difference, "cannot tell")
    return Comparison(difference, "better" if (difference.low > 0) == more_is_better else "worse")
