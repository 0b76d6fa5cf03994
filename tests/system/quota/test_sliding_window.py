"""A sliding window never counts fewer units than were added within its length, for any sequence of operations."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.planes.quota.sliding_window import SLOT_MS, SlidingWindow
from hallhitch.planes.quota.tenant_counter import CELLS_PER_WINDOW

LENGTH_MS, SHORT_LENGTH_MS = 5000.0, 700.0
CELL_MS = LENGTH_MS / CELLS_PER_WINDOW


@dataclass
class Addition:
    """Units that were added at one time; 0 after a refund."""

    added_at: float
    units: int
    slot: int


# Each step: the pause before an addition (ms), its units, and whether an earlier addition is refunded afterwards.
STEPS = st.lists(st.tuples(st.floats(0, 1500), st.integers(0, 3), st.booleans()), max_size=60)


@given(st.floats(0, 1e9), STEPS)
def test_window_never_counts_less_than_was_added(start: float, steps: list[tuple[float, int, bool]]) -> None:
    now, window = start, SlidingWindow(start, LENGTH_MS, SHORT_LENGTH_MS)
    additions: list[Addition] = []
    for pause_ms, units, refunds in steps:
        now += pause_ms
        window.advance(now)
        additions.append(Addition(now, units, window.add(units)))
        refunded = additions[len(additions) // 2]
        if refunds and window.refund(now, refunded.slot, refunded.units):
            refunded.units = 0
        for length_ms, counted in ((LENGTH_MS, window.total), (SHORT_LENGTH_MS, window.short_total)):
            assert sum(addition.units for addition in additions if addition.added_at > now - length_ms) <= counted
            longer_ms = length_ms + 2 * SLOT_MS
            assert counted <= sum(addition.units for addition in additions if addition.added_at >= now - longer_ms)
        units_by_cell = window.units_by_cell(now, CELLS_PER_WINDOW, CELL_MS)
        for cell in range(CELLS_PER_WINDOW):
            recent = sum(addition.units for addition in additions if addition.added_at > now - cell * CELL_MS)
            assert sum(units_by_cell[:cell]) >= recent or sum(units_by_cell[: cell + 1]) >= recent


def test_window_has_capacity_after_the_returned_time() -> None:
    window = SlidingWindow(1000.0, 5000.0, 500.0)
    window.add(4)
    window.advance(1900.0)
    wait_ms = window.ms_until_capacity(1900.0, 1, 4, 4)
    window.advance(1900.0 + wait_ms - 1)
    assert window.total == 4
    window.advance(1900.0 + wait_ms)
    assert window.total == 0 and wait_ms <= 5000.0


def test_refund_succeeds_once_and_only_while_the_slot_exists() -> None:
    window = SlidingWindow(0.0, 5000.0, 500.0)
    slot = window.add(1)
    assert window.refund(4000.0, slot, 1) and window.total == 0
    assert not window.refund(4000.0, slot, 1)
    slot = window.add(1)
    window.advance(9500.0)
    window.add(1)
    assert not window.refund(9500.0, slot, 1) and window.total == 1
