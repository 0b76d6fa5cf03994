"""How long a connection may stand idle, learned from the attempts that broke on idle connections.

Servers, or what is between, may drop idle connections far sooner than they announce, and without notice: the next
request on such a connection ends with a reset, and may have run for all that is known here. Times in ms.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Final

NEW_CONNECTION_GAIN: Final = 0.05  # weight of one attempt in the ratio that breaks on new connections
# The same on idle connections: two in a row are enough to avoid those, as a new connection costs far less.
IDLE_CONNECTION_GAIN: Final = 0.12
MAX_EXCESS_RATIO: Final = 0.15  # of attempts that break, above that on new connections, for idle ones to be used
RESULT_LIFETIME_MS: Final = 100.0  # for which the longest idle time holds, unless an attempt breaks
HALF_LIFE_MS: Final = 30_000.0  # of a learned ratio, so that idle connections are tried again


class IdleTimeStatistics:
    """The ratio of attempts that break, by the order (power of two) of the time that their connection stood idle."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._new_ratio = 0.0  # on connections that were not idle at all
        self._ratios: dict[int, tuple[float, float]] = {}  # ratio and when it was learned, by order
        self._max_idle_ms = math.inf
        self._valid_until = -math.inf

    def observe(self, idle_ms: float | None, is_broken: bool) -> None:
        """Record how an attempt ended; `idle_ms` is None for a new connection."""
        if idle_ms is None:
            self._new_ratio += NEW_CONNECTION_GAIN * (is_broken - self._new_ratio)
            return
        order = int(idle_ms).bit_length()
        if is_broken:
            ratio = self._ratio(order)
            self._ratios[order] = ratio + IDLE_CONNECTION_GAIN * (1 - ratio), self._clock()
            self._valid_until = -math.inf
            return
        for shorter in [known for known in self._ratios if known <= order]:  # a shorter time would have held as well
            self._ratios[shorter] = self._ratio(shorter) * (1 - IDLE_CONNECTION_GAIN), self._clock()

    def export_rows(self) -> list[tuple[int, float, float]]:
        """Return what was learned, for a successor: order, ratio, and when it was learned."""
        return [(order, ratio, learned_at) for order, (ratio, learned_at) in self._ratios.items()]

    def import_rows(self, rows: Iterable[tuple[int, float, float]]) -> None:
        """Replace what was learned by the rows of a predecessor."""
        self._ratios = {order: (ratio, learned_at) for order, ratio, learned_at in rows}
        self._valid_until = -math.inf

    def max_idle_ms(self) -> float:
        """Return how long a connection may stand idle and still be used."""
        now = self._clock()
        if now >= self._valid_until:
            max_ratio = self._new_ratio + MAX_EXCESS_RATIO
            breaking_order = next((order for order in sorted(self._ratios) if self._ratio(order) > max_ratio), None)
            self._max_idle_ms = math.inf if breaking_order is None else float(1 << breaking_order >> 1)
            self._valid_until = now + RESULT_LIFETIME_MS
        return self._max_idle_ms

    def _ratio(self, order: int) -> float:
        ratio, learned_at = self._ratios.get(order, (0.0, 0.0))
        return float(ratio * 0.5 ** ((self._clock() - learned_at) / HALF_LIFE_MS))
