"""The delays of a gateway's watches at discovery, apart from sockets and clocks.

All gateways start, move and lose discovery together. Where discovery answers one call at a time, calls queue there and
fail when they have waited too long, while the service also works on calls that nobody waits for any more. A queue that
is long enough therefore fails every call in it for as long as they all come again at once.
"""

from __future__ import annotations

import random
from typing import Final

WATCH_COST_MS: Final = 150.0  # of discovery's time that a watch is planned to take, where discovery has to be asked
MAX_MOVE_DELAY_MS: Final = 1500.0  # over which gateways move to another discovery: they need its list soon
MIN_RETRY_DELAY_MS: Final = 100.0  # before the first retry; doubles with each further one
MAX_RETRY_DELAY_MS: Final = 3200.0
MAX_DOUBLINGS: Final = 16


class WatchBackoff:
    """The delays of one gateway's watch, in ms; each is random, so that gateways spread without coordination."""

    def __init__(self, gateways: int, is_polled: bool, seed: int) -> None:
        """`is_polled` says whether a watch costs discovery a call; `gateways` share it."""
        self._random = random.Random(seed)
        self._failures = 0
        self._spread_ms = gateways * WATCH_COST_MS if is_polled else 0.0

    def first_delay_ms(self, is_moved: bool) -> float:
        """Return the delay before the first watch, or the first one at another address."""
        self._failures = 0
        return self._random.random() * (min(MAX_MOVE_DELAY_MS, self._spread_ms) if is_moved else self._spread_ms)

    def retry_delay_ms(self, is_reached: bool) -> float:
        """Return the delay before the next attempt; one that did not reach discovery has cost it nothing."""
        first_ms, longest_ms = MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS
        if is_reached:
            first_ms = max(first_ms, self._spread_ms)
            longest_ms = max(longest_ms, 2 * self._spread_ms)
        delay_ms = min(longest_ms, first_ms * 2.0 ** min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        return delay_ms * (1 + self._random.random()) / 2

    def reset(self) -> None:
        """Begin anew, as a watch was answered."""
        self._failures = 0
