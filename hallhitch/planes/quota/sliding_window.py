"""A sliding-window counter of one tenant's units, divided into time slots.

Invariant: the count over a window length is at least the number of units added within that length, and at most the
number added within that length plus two slots. A slot that is partly inside the window counts in full.

Callers call `advance` once for each request, before any method that requires it. Times are ms of one process's steady
clock and never decrease.
"""

from __future__ import annotations

import math
from typing import Final

SLOT_MS: Final = 50.0  # a hundredth of the usual window of 5 s; a window counts up to two slots more than its length
# Slot numbers wrap around at this value, which is far above the number of slots of any window.
SLOT_NUMBER_MODULUS: Final = 1 << 14


class SlidingWindow:
    """Units counted within `length_ms` (`total`), and within the shorter `short_length_ms` (`short_total`)."""

    __slots__ = ("_head", "_ring", "_short_slots", "_slots", "short_total", "total")

    def __init__(self, now: float, length_ms: float, short_length_ms: float) -> None:
        self._slots = math.ceil(length_ms / SLOT_MS) + 1
        self._short_slots = self._slots_of(short_length_ms)
        self._ring = [0] * self._slots
        self._head = int(now // SLOT_MS)  # number of the current slot, counted from time 0 of the clock
        self.total = 0
        self.short_total = 0

    def advance(self, now: float) -> None:
        """Advance the windows to `now` and drop the units that have left them."""
        head = int(now // SLOT_MS)
        if head - self._head >= self._slots:
            self._ring = [0] * self._slots
            self._head = head
            self.total = 0
            self.short_total = 0
            return
        ring, slots = self._ring, self._slots
        while self._head < head:
            self._head += 1
            self.short_total -= ring[(self._head - self._short_slots) % slots]
            index = self._head % slots
            self.total -= ring[index]
            ring[index] = 0

    def set_short_length(self, now: float, short_length_ms: float) -> None:
        """Change the length of the shorter window; counted units are kept."""
        self.advance(now)
        self._short_slots = self._slots_of(short_length_ms)
        self.short_total = sum(self._ring[self._index(age)] for age in range(self._short_slots))

    def add(self, units: int) -> int:
        """Count units now; return the number of their slot, for `refund`. Requires `advance` first."""
        self._ring[self._head % self._slots] += units
        self.total += units
        self.short_total += units
        return self._head % SLOT_NUMBER_MODULUS

    def add_at(self, counted_at: float, units: int) -> None:
        """Count units at a past time, unless that is before the window. Requires `advance` first."""
        age = max(0, self._head - int(counted_at // SLOT_MS))
        if age >= self._slots:
            return
        self._ring[self._index(age)] += units
        self.total += units
        if age < self._short_slots:
            self.short_total += units

    def units_by_cell(self, now: float, cells: int, cell_ms: float) -> list[int]:
        """Return the units in each of `cells` time spans of `cell_ms`, newest first.

        Units are reported in the span that contains the end of their slot, and so never as older than they are. The
        last span also contains everything older.
        """
        self.advance(now)
        units_by_cell = [0] * cells
        head, ring, slots = self._head, self._ring, self._slots
        for age in range(slots):
            units = ring[(head - age) % slots]
            if units:
                slot_end = min((head - age + 1) * SLOT_MS, now)
                units_by_cell[min(int((now - slot_end) / cell_ms), cells - 1)] += units
        return units_by_cell

    def refund(self, now: float, slot_number: int, units: int) -> bool:
        """Remove units from the slot that counted them; return False if it has expired or contains fewer units."""
        self.advance(now)
        age = (self._head - slot_number) % SLOT_NUMBER_MODULUS
        index = self._index(age)
        if age >= self._slots or self._ring[index] < units:
            return False
        self._ring[index] -= units
        self.total -= units
        if age < self._short_slots:
            self.short_total -= units
        return True

    def fits(self, units: int, limit: float, short_limit: float) -> bool:
        """Return whether both windows have capacity for more units. Requires `advance` first."""
        return self.total + units <= limit and self.short_total + units <= short_limit

    def ms_until_capacity(self, now: float, units: int, limit: float, short_limit: float) -> float:
        """Return the time until both windows have capacity if nothing more is counted. Requires `advance` first."""
        return max(
            self._ms_until_expired(now, self.total + units - limit, self._slots),
            self._ms_until_expired(now, self.short_total + units - short_limit, self._short_slots),
        )

    def _ms_until_expired(self, now: float, units: float, slots: int) -> float:
        """Return the time until at least `units` units have left the window of the last `slots` slots."""
        if units <= 0:
            return 0.0
        for age in range(slots - 1, -1, -1):
            units -= self._ring[self._index(age)]
            if units <= 0:
                return (self._head - age + slots) * SLOT_MS - now
        return slots * SLOT_MS

    def _slots_of(self, short_length_ms: float) -> int:
        return min(math.ceil(short_length_ms / SLOT_MS) + 1, self._slots)

    def _index(self, age: int) -> int:
        """Return the ring index of the slot that began `age` slots before the current one."""
        return (self._head - age) % self._slots
