"""The repository's scenarios, shortened for tests."""

from __future__ import annotations

from pathlib import Path

import msgspec

from hallhitch.lab.scenario import Scenario
from hallhitch.settings_file import read
from tests.stand_ins import ROOT

SCENARIOS = sorted((ROOT / "scenarios").glob("*.toml"))
CASES_FILE = str(ROOT / "scenarios" / "cases" / "evenness.toml")
SHORT_SECONDS = 16.0
MIN_FAULT_RATIO = 0.3  # a fault keeps at least this ratio of its duration


def short_scenario(path: Path) -> Scenario:
    """Read a scenario, scale it down to `SHORT_SECONDS`, and scale the times of its faults likewise."""
    scenario = read(str(path), Scenario)
    ratio = min(1.0, SHORT_SECONDS / scenario.seconds)
    faults = tuple(
        msgspec.structs.replace(fault, at_s=fault.at_s * ratio, for_s=fault.for_s * max(ratio, MIN_FAULT_RATIO))
        for fault in scenario.faults
    )
    return msgspec.structs.replace(scenario, seconds=scenario.seconds * ratio, faults=faults)
