"""The sliding count is never below what was counted within a span, whatever comes in between."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.planes.quota.holder import CELLS
from hallhitch.planes.quota.sliding_window import SLOT, SlidingWindow

STEPS = st.lists(st.tuples(st.floats(0, 1500), st.integers(0, 3), st.booleans()), max_size=60)


@given(st.floats(0, 1e9), STEPS)
def test_a_window_never_counts_less_than_was_added(start: float, steps: list[tuple[float, int, bool]]) -> None:
    now, window = start, SlidingWindow(start, 5000.0, 700.0)
    added: list[tuple[float, int, int]] = []
    for step, units, back in steps:
        now += step
        added.append((now, units, window.add(now, units)))
        if back and window.give_back(now, added[len(added) // 2][2], added[len(added) // 2][1]):
            moment, _, slot = added[len(added) // 2]
            added[len(added) // 2] = (moment, 0, slot)
        for length, counted in ((5000.0, window.total), (700.0, window.short)):
            assert sum(units for moment, units, _ in added if moment > now - length) <= counted
            assert counted <= sum(units for moment, units, _ in added if moment >= now - length - 2 * SLOT)
        cells = window.cells(now, CELLS, 5000.0 / CELLS)
        for number in range(CELLS):
            late = sum(units for moment, units, _ in added if moment > now - number * 5000.0 / CELLS)
            assert sum(cells[:number]) >= late or sum(cells[: number + 1]) >= late


def test_room_comes_back_when_it_says() -> None:
    window = SlidingWindow(1000.0, 5000.0, 500.0)
    window.add(1000.0, 4)
    window.advance(1900.0)
    wait = window.room_in(1900.0, 1, 4, 4)
    window.advance(1900.0 + wait - 1)
    assert window.total == 4
    window.advance(1900.0 + wait)
    assert window.total == 0 and wait <= 5000.0


def test_a_unit_goes_back_once_its_slot_is_alive_and_not_after() -> None:
    window = SlidingWindow(0.0, 5000.0, 500.0)
    slot = window.add(0.0, 1)
    assert window.give_back(4000.0, slot, 1) and window.total == 0
    assert not window.give_back(4000.0, slot, 1)
    slot = window.add(4000.0, 1)
    window.add(9500.0, 1)
    assert not window.give_back(9500.0, slot, 1) and window.total == 1
