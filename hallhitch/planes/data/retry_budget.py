"""The retry budget of one service at this gateway: its share of the retries that all gateways together may send.

Requests and retries are counted per service in a sliding window, as in Finagle's `RetryBudget`. Hedged requests count
as retries. Times are milliseconds of the monotonic clock.

Invariant: in each window, the retries that reached a backend are at most the configured ratio of this gateway's
requests plus its share of the slack, whatever other gateways do.
"""

from __future__ import annotations

from collections import deque
from typing import Final

# Both factors keep the total of all gateways within the configured bound without communication between them.
# The ratio's factor covers windows that start at other times, and half a window in which traffic falls.
RATIO_SAFETY_FACTOR: Final = 0.8
SLACK_SAFETY_FACTOR: Final = 0.5  # the other half covers gateways that know of fewer gateways than there are
# Requests are counted in slices of this length. A slice is dropped as a whole, before its last requests expire.
REQUEST_SLICE_MS: Final = 250.0


class RetryBudget:
    """Counts the requests and retries in a sliding window and limits the retries."""

    def __init__(self, ratio: float, window_ms: float, slack: float, now: float) -> None:
        """Start with empty counts.

        `ratio` is the number of retries allowed per request; `slack` is the number of additional retries per window for
        all gateways together.
        """
        self._ratio = ratio * RATIO_SAFETY_FACTOR
        self._window_ms = window_ms
        self._slack = slack * SLACK_SAFETY_FACTOR
        self._started_at_ms = now
        self._slices: deque[tuple[float, int]] = deque()  # start of each slice and number of requests in it
        self._requests = 0
        self._retries: deque[float] = deque()  # send time of each retry

    def record_request(self, now: float) -> None:
        """Count one admitted request."""
        slice_start = now // REQUEST_SLICE_MS * REQUEST_SLICE_MS
        if self._slices and self._slices[-1][0] == slice_start:
            self._slices[-1] = (slice_start, self._slices[-1][1] + 1)
        else:
            self._slices.append((slice_start, 1))
        self._requests += 1
        self._expire(now)

    def allows_retry(self, now: float, gateway_count: int) -> bool:
        """Return whether the budget allows one more retry if `gateway_count` gateways share the slack."""
        self._expire(now)
        # The previous process of a restarted gateway may have spent its slack within this window.
        slack = self._slack / max(gateway_count, 1) if now - self._started_at_ms >= self._window_ms else 0.0
        return len(self._retries) + 1 <= self._ratio * self._requests + slack

    def spend(self, now: float) -> float:
        """Count one retry and return the time that identifies it for `refund`."""
        self._retries.append(now)
        return now

    def refund(self, spent_at_ms: float) -> None:
        """Remove a retry that never reached a backend from the count; no effect once it has left the window."""
        if spent_at_ms in self._retries:
            self._retries.remove(spent_at_ms)

    def _expire(self, now: float) -> None:
        """Drop the requests and retries that have left the window."""
        window_start = now - self._window_ms
        while self._slices and self._slices[0][0] < window_start:
            self._requests -= self._slices.popleft()[1]
        while self._retries and self._retries[0] <= window_start:
            self._retries.popleft()
