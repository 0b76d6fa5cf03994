"""The retry budget of one service at this gateway: its own share of the retries that all gateways may add together.

Owns the counts of one sliding window. Invariant: the retries and hedges of one window that reached a backend are at
most the budget's ratio of the window's requests plus this gateway's share of the slack, whatever other gateways do.
Counted per service as in Finagle's `RetryBudget`. Times are steady ms.
"""

from __future__ import annotations

from collections import deque
from typing import Final

# Both factors keep the sum over gateways below the configured bound without any exchange between them.
RATIO_SAFETY_FACTOR: Final = 0.8  # for the skew of other windows, and the half of a window in which traffic falls
SLACK_SAFETY_FACTOR: Final = 0.5  # the other half is for gateways that know of fewer gateways than there are
REQUEST_SLICE_MS: Final = 250.0  # requests are counted in slices of this length; a slice is dropped whole, early


class RetryBudget:
    """Count requests and retries of a sliding window, and say whether one more retry fits."""

    def __init__(self, ratio: float, window_ms: float, slack: float, now: float) -> None:
        """Start empty; `ratio` is retries per request, `slack` retries per window for all gateways together."""
        self._ratio = ratio * RATIO_SAFETY_FACTOR
        self._window_ms = window_ms
        self._slack = slack * SLACK_SAFETY_FACTOR
        self._started_at_ms = now
        self._slices: deque[tuple[float, int]] = deque()  # start of the slice, requests in it
        self._requests = 0
        self._retries: deque[float] = deque()  # when each was sent

    def record_request(self, now: float) -> None:
        """Count one admitted request."""
        slice_start = now // REQUEST_SLICE_MS * REQUEST_SLICE_MS
        if self._slices and self._slices[-1][0] == slice_start:
            self._slices[-1] = (slice_start, self._slices[-1][1] + 1)
        else:
            self._slices.append((slice_start, 1))
        self._requests += 1
        self._expire(now)

    def allows_retry(self, now: float, gateways: int) -> bool:
        """Return whether one more retry fits, with so many gateways sharing the slack."""
        self._expire(now)
        # A process that just started may follow one that has spent its slack within this window.
        slack = self._slack / max(gateways, 1) if now - self._started_at_ms >= self._window_ms else 0.0
        return len(self._retries) + 1 <= self._ratio * self._requests + slack

    def spend(self, now: float) -> float:
        """Count one retry; returns the time to refund it by."""
        self._retries.append(now)
        return now

    def refund(self, spent_at_ms: float) -> None:
        """Take back one retry that never reached a backend; without effect once it has left the window."""
        if spent_at_ms in self._retries:
            self._retries.remove(spent_at_ms)

    def _expire(self, now: float) -> None:
        window_start = now - self._window_ms
        while self._slices and self._slices[0][0] < window_start:
            self._requests -= self._slices.popleft()[1]
        while self._retries and self._retries[0] <= window_start:
            self._retries.popleft()
