"""Local health: how far this process distrusts its own observations, and stretches its intervals for it.

Source: Lifeguard (2018), "Local Health Aware Probe".
"""

from __future__ import annotations


class LocalHealth:
    """A score from 0 (healthy) to `max_score`."""

    def __init__(self, max_score: int) -> None:
        self._max_score = max_score
        self.score = 0

    def adjust(self, delta: int) -> None:
        """Add to the score; a positive delta means worse health."""
        self.score = max(0, min(self._max_score, self.score + delta))

    def set_worst(self) -> None:
        """Set the score to its maximum."""
        self.score = self._max_score

    @property
    def stretch(self) -> int:
        """Factor by which probe intervals and time-outs are stretched."""
        return 1 + self.score
