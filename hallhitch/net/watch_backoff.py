"""The delays between a gateway's watches of discovery, computed without sockets or clocks.

All gateways start, move to another discovery and lose their connections to it at the same time. A discovery that
handles one call at a time queues the others; calls that wait too long time out, and discovery still works on calls
whose callers have given up. If the queue is long enough, every call in it fails, for as long as all gateways retry at
once. Random delays over a long enough window prevent this.
"""

from __future__ import annotations

import random
from typing import Final

WATCH_COST_MS: Final = 150.0  # time budgeted for one watch at a discovery that is polled
MAX_MOVE_DELAY_MS: Final = (
    1500.0  # limit of the spread when gateways move to another discovery, as they need its list soon
)
MIN_RETRY_DELAY_MS: Final = 100.0  # before the first retry; doubles with each further retry
MAX_RETRY_DELAY_MS: Final = 3200.0
MAX_DOUBLINGS: Final = 16


class WatchBackoff:
    """The delays of one gateway's watch, in ms; they are random, so that gateways spread without coordination."""

    def __init__(self, gateways: int, is_polled: bool, seed: int) -> None:
        """Spread the watches of `gateways` over time if `is_polled`, that is, if a watch costs discovery a call."""
        self._random = random.Random(seed)
        self._failures = 0
        self._spread_window_ms = gateways * WATCH_COST_MS if is_polled else 0.0

    def first_delay_ms(self, is_moved: bool) -> float:
        """Return the delay before the first watch, or, if `is_moved`, before the first watch at another address."""
        self._failures = 0
        return self._random.random() * (
            min(MAX_MOVE_DELAY_MS, self._spread_window_ms) if is_moved else self._spread_window_ms
        )

    def retry_delay_ms(self, is_reached: bool) -> float:
        """Return the delay before the next attempt; it is short if discovery was not reached, which cost it nothing."""
        first_ms, longest_ms = MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS
        if is_reached:
            first_ms = max(first_ms, self._spread_window_ms)
            longest_ms = max(longest_ms, 2 * self._spread_window_ms)
        delay_ms = min(longest_ms, first_ms * 2.0 ** min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        return delay_ms * (1 + self._random.random()) / 2

    def reset(self) -> None:
        """Reset the retry delay, as a watch was answered."""
        self._failures = 0
