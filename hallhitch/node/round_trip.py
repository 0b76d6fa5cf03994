"""How long one peer takes to answer, learned from its answers: Jacobson's estimate, as for TCP retransmissions.

Values in, values out; times in ms. Owns no clock: whoever measures says what it measured.
"""

from __future__ import annotations

from dataclasses import dataclass

MEAN_GAIN, DEVIATION_GAIN = 1 / 8, 1 / 4  # RFC 6298, 2.3
DEVIATIONS = 4  # of them beyond the mean, in which nearly every answer comes (RFC 6298, 2.3)


@dataclass(slots=True)
class RoundTrip:
    """Smoothed time of an answer and by how much it varies; 0 = nothing measured yet."""

    mean: float = 0.0
    deviation: float = 0.0

    @property
    def known(self) -> bool:
        """Whether anything was measured."""
        return self.mean > 0

    def learn(self, took: float) -> None:
        """One answer took so many ms, or was given up after them."""
        if not self.known:
            self.mean, self.deviation = took, took / 2
            return
        self.deviation += (abs(took - self.mean) - self.deviation) * DEVIATION_GAIN
        self.mean += (took - self.mean) * MEAN_GAIN

    def bound(self) -> float:
        """The time (ms) in which the next answer comes, but for rare ones."""
        return self.mean + DEVIATIONS * self.deviation
