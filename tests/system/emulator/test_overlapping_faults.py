"""A short soak: signals, restarts and changes overlap while clients use open connections until a process is gone.

HALLHITCH_OVERLAP_SEEDS sets the number of seeds, half a minute each. `make soak-overlaps` plays longer runs under the
operators' bounds.
"""

from __future__ import annotations

import asyncio
import os
from dataclasses import replace
from pathlib import Path

import pytest

from hallhitch.lab.emulator.emulator import Emulator
from hallhitch.lab.emulator.overlapping_scenario import overlapping_faults
from hallhitch.lab.emulator.refusing_backends import with_refusing_backends
from hallhitch.lab.emulator.rules import check_records
from hallhitch.lab.emulator.shutdown_traffic import with_long_requests
from hallhitch.lab.emulator.spec import EmulatorSpec
from hallhitch.lab.emulator.traffic import Traffic, plan_requests

SEED_COUNT = int(os.environ.get("HALLHITCH_OVERLAP_SEEDS", "2"))
DURATION_S = 15.0
BUSY_MACHINE_MS = 120_000.0  # replaces the time bounds: a delay on a busy machine is no violation


@pytest.mark.parametrize("seed", range(1, SEED_COUNT + 1))
def test_overlapping_faults_violate_no_rule_and_no_process_exits_unexpectedly(seed: int, tmp_path: Path) -> None:
    spec = with_refusing_backends(with_long_requests(EmulatorSpec(seed=seed, clients_stay_connected=True)))

    async def body() -> None:
        async with Emulator(spec, tmp_path) as emulator:
            await emulator.wait_until_configured()
            await emulator.wait_until_serving()
            requests = plan_requests(spec, DURATION_S, len(emulator.clients), load_factor=0.5)
            await Traffic(emulator, requests).run(overlapping_faults(emulator, DURATION_S))
            assert emulator.processes.describe_unexpected_exits() == []
        bounds = replace(
            spec.bounds,
            drain_timeout_ms=BUSY_MACHINE_MS,
            config_apply_ms=BUSY_MACHINE_MS,
            downgrade_slack_ms=BUSY_MACHINE_MS,
            evacuation_ms=BUSY_MACHINE_MS,
            loss_slack_ms=BUSY_MACHINE_MS,
        )
        violations_by_rule = check_records(emulator.records, bounds)
        assert {rule: violations for rule, violations in violations_by_rule.items() if violations} == {}

    asyncio.run(body())
