"""Estimate of a peer's round-trip time from its earlier replies: Jacobson's algorithm as in RFC 6298.

No I/O and no clock: the caller measures. Times are in ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MEAN_GAIN: Final = 1 / 8  # alpha of RFC 6298, 2.3
DEVIATION_GAIN: Final = 1 / 4  # beta of RFC 6298, 2.3
DEVIATION_FACTOR: Final = 4  # K of RFC 6298, 2.3: nearly all replies arrive within mean + K * deviation


@dataclass(slots=True)
class RoundTripEstimate:
    """Smoothed round-trip time and its mean deviation; both are 0 before the first sample."""

    mean_ms: float = 0.0
    deviation_ms: float = 0.0

    @property
    def has_samples(self) -> bool:
        """Whether any round trip was measured."""
        return self.mean_ms > 0

    def observe(self, sample_ms: float) -> None:
        """Add the time that a reply took, or the time after which the caller stopped waiting for it."""
        if not self.has_samples:
            self.mean_ms = sample_ms
            self.deviation_ms = sample_ms / 2
            return
        self.deviation_ms += (abs(sample_ms - self.mean_ms) - self.deviation_ms) * DEVIATION_GAIN
        self.mean_ms += (sample_ms - self.mean_ms) * MEAN_GAIN

    def upper_bound_ms(self) -> float:
        """Return the time within which the next reply arrives in nearly all cases."""
        return self.mean_ms + DEVIATION_FACTOR * self.deviation_ms
