"""How long a connection may be idle and still be reused, learned from attempts that broke on idle connections.

Servers, or network equipment before them, may drop idle connections far sooner than they announce, and without notice.
The next request on such a connection ends with a reset, and the gateway cannot know whether it ran. Times are in ms.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Final

NEW_CONNECTION_GAIN: Final = 0.05  # weight of one attempt in the failure ratio of new connections
# The same for idle connections: two failures in a row make the gateway open new connections instead, as a new
# connection costs far less than a lost request.
IDLE_CONNECTION_GAIN: Final = 0.12
MAX_EXCESS_RATIO: Final = 0.15  # by which the failure ratio of idle connections may exceed that of new ones
RESULT_LIFETIME_MS: Final = 100.0  # for which the longest idle time is cached, unless an attempt breaks
HALF_LIFE_MS: Final = 30_000.0  # of a learned ratio, so that longer idle times are tried again


class IdleTimeStatistics:
    """The ratio of attempts that break, by the order of magnitude (power of two) of their connection's idle time."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._new_connection_ratio = 0.0  # of attempts on new connections
        self._ratio_by_order: dict[
            int, tuple[float, float]
        ] = {}  # by order: the ratio, and the time of its last change
        self._max_idle_ms = math.inf
        self._cached_until = -math.inf

    def observe(self, idle_ms: float | None, is_broken: bool) -> None:
        """Record how an attempt ended; `idle_ms` is None for a new connection."""
        if idle_ms is None:
            self._new_connection_ratio += NEW_CONNECTION_GAIN * (is_broken - self._new_connection_ratio)
            return
        order = int(idle_ms).bit_length()
        if is_broken:
            ratio = self._decayed_ratio(order)
            self._ratio_by_order[order] = ratio + IDLE_CONNECTION_GAIN * (1 - ratio), self._clock()
            self._cached_until = -math.inf
            return
        for shorter in [
            known for known in self._ratio_by_order if known <= order
        ]:  # a shorter idle time would have worked as well
            self._ratio_by_order[shorter] = self._decayed_ratio(shorter) * (1 - IDLE_CONNECTION_GAIN), self._clock()

    def export_rows(self) -> list[tuple[int, float, float]]:
        """Return the learned ratios for a successor process, as rows of order, ratio and time of the last change."""
        return [(order, ratio, learned_at) for order, (ratio, learned_at) in self._ratio_by_order.items()]

    def import_rows(self, rows: Iterable[tuple[int, float, float]]) -> None:
        """Replace the learned ratios with the rows of a predecessor process."""
        self._ratio_by_order = {order: (ratio, learned_at) for order, ratio, learned_at in rows}
        self._cached_until = -math.inf

    def max_idle_ms(self) -> float:
        """Return how long a connection may be idle and still be used."""
        now = self._clock()
        if now >= self._cached_until:
            max_ratio = self._new_connection_ratio + MAX_EXCESS_RATIO
            breaking_order = next(
                (order for order in sorted(self._ratio_by_order) if self._decayed_ratio(order) > max_ratio), None
            )
            self._max_idle_ms = math.inf if breaking_order is None else float(1 << breaking_order >> 1)
            self._cached_until = now + RESULT_LIFETIME_MS
        return self._max_idle_ms

    def _decayed_ratio(self, order: int) -> float:
        ratio, learned_at = self._ratio_by_order.get(order, (0.0, 0.0))
        return float(ratio * 0.5 ** ((self._clock() - learned_at) / HALF_LIFE_MS))
