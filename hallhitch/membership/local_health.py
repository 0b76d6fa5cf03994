"""Local health: how unreliable this process's own observations are. A worse score lengthens its probe intervals.

Source: Lifeguard (2018), "Local Health Aware Probe".
"""

from __future__ import annotations


class LocalHealth:
    """A score from 0 (healthy) to `max_score`."""

    def __init__(self, max_score: int) -> None:
        self._max_score = max_score
        self.score = 0

    def adjust(self, delta: int) -> None:
        """Add to the score, within its bounds; a positive delta means worse health."""
        self.score = max(0, min(self._max_score, self.score + delta))

    def set_worst(self) -> None:
        """Set the score to its maximum."""
        self.score = self._max_score

    @property
    def interval_multiplier(self) -> int:
        """Factor by which probe intervals and reply time-outs are multiplied."""
        return 1 + self.score
