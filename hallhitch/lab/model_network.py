"""The modelled network between zones: delays and faults of links. Times in ms."""

from __future__ import annotations

from hallhitch.lab.scenario import WorldSettings
from hallhitch.lab.streams import Stream

LOST_BEFORE_ARRIVAL_PROBABILITY = 0.5  # assumed: a connection breaks as often before the request arrives as after it


class ModelNetwork:
    """Delays between zones, and the faults of connections in force now."""

    def __init__(self, world: WorldSettings, stream: Stream) -> None:
        self._world = world
        self._stream = stream
        self.reset = 0.0  # probability that the connection of an attempt is reset
        self.cut: set[tuple[int, str]] = set()  # partitions: gateway number and party that do not reach each other
        self.stale = float("inf")  # idle time after which a connection was dropped silently by the peer

    def delay(self, from_zone: int, to_zone: int) -> float:
        """Draw a one-way delay between two zones."""
        low_high = self._world.delay if from_zone == to_zone else self._world.across
        return self._stream.uniform(*low_high)

    def draw_reset(self) -> bool:
        """Draw whether the connection of this attempt is reset."""
        return self.reset > 0 and self._stream.chance(self.reset)

    def draw_lost_before_arrival(self) -> bool:
        """Draw whether a reset comes before the request has arrived completely."""
        return self._stream.chance(LOST_BEFORE_ARRIVAL_PROBABILITY)
