"""Each mechanism switched off, one at a time: the checks must find it, and find nothing with it on.

The table on the page of the design is made from these: mechanism, what was switched off, the check that found it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from hallhitch.planes.control.register import Tally
from tests.system.simulation import scenes
from tests.system.simulation.disk import SimulatedDisk
from tests.system.simulation.faults import Fault, Kind, Schedule
from tests.system.simulation.history import Violation, rules
from tests.system.simulation.scenes import perform
from tests.system.simulation.world import play

Play = Callable[[], list[Violation]]
Switch = Callable[[pytest.MonkeyPatch], None]


def _incarnations_off(patch: pytest.MonkeyPatch) -> None:
    """Votes of ended incarnations count."""
    patch.setattr(Tally, "votes", lambda tally: set(tally._yes))


def _sync_of_folder_off(patch: pytest.MonkeyPatch) -> None:
    """Names of new files and removals are left to the disk."""
    patch.setattr(SimulatedDisk, "sync_folder", lambda disk: None)


def _power_lost_by_all(seed: int) -> Schedule:
    """All lose power in the middle of orders that come thick and fast."""
    fault = Fault(Kind.ALL_POWER, at=4.0 + 0.37 * seed, lasts=0.5)
    return Schedule(seed, 1, 3, 2, (fault,), lasts=6.0, delay=5.0, answers_lost=0.0, orders=2.0)


SEEDS = range(4)
CASES: dict[str, tuple[Switch, list[Play], str]] = {
    "incarnations": (
        _incarnations_off,
        [lambda: perform(scenes.vote_of_a_forgotten_incarnation, founders=5)],
        "lost",
    ),
    "sync of the folder": (
        _sync_of_folder_off,
        [lambda seed=seed: play(_power_lost_by_all(seed)) for seed in SEEDS],  # type: ignore[misc]
        "lost",
    ),
}


@pytest.mark.parametrize("mechanism", CASES)
def test_without_it_a_rule_breaks(mechanism: str, monkeypatch: pytest.MonkeyPatch) -> None:
    switch_off, plays, rule = CASES[mechanism]
    switch_off(monkeypatch)
    found = [rules(play()) for play in plays]
    assert any(rule in broken for broken in found), f"{mechanism} off, and nothing of {rule!r} was found: {found}"


@pytest.mark.parametrize("mechanism", CASES)
def test_with_it_all_rules_hold(mechanism: str) -> None:
    _, plays, _ = CASES[mechanism]
    found: list[Any] = [violation for play in plays for violation in play()]
    assert not found
