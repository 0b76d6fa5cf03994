"""Replacement of a coordinator by a machine without data, with real processes; every wait is for a condition."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

from hallhitch.cli.demo_system import SCENARIO_NAMES
from hallhitch.lab.emulator.backend import BackendSpec
from hallhitch.lab.emulator.control_scenarios import ConfigSequence
from hallhitch.lab.emulator.emulator import Emulator
from hallhitch.lab.emulator.rules import check_records
from hallhitch.lab.emulator.scenarios import SCENARIOS
from hallhitch.lab.emulator.spec import EmulatorSpec

SPEC = EmulatorSpec(
    regions=1,
    gateways_per_zone=1,
    backends=((BackendSpec("shelf", slots=4, work_ms=1), 1), (BackendSpec("vault", slots=4, work_ms=1), 1)),
    region_delay_ms=1.0,
    grace_period_ms=2000.0,
)
TIMEOUT_S = 120.0


def test_successor_replaces_a_coordinator_without_losing_configurations(tmp_path: Path) -> None:
    """A successor joins an existing cluster, so its settings do not mark a first start. It returns the configuration
    that was acknowledged before it joined. The old machine exits cleanly and gets no further requests. A configuration
    that is acknowledged afterwards is read from every coordinator."""

    async def body() -> None:
        async with Emulator(SPEC, tmp_path, is_relayed=True) as emulator:
            await emulator.wait_until_configured()
            configs, old = ConfigSequence(emulator), emulator.processes.with_role("coordinator")[0]
            write = await emulator.operator.replace_config(configs.next(), TIMEOUT_S * 1000)
            assert write.acknowledged_at_ms is not None
            successor = await emulator.start_successor(old)
            assert "firstStart = false" in (successor.directory / "settings.toml").read_text()

            async def responds() -> bool:
                read = await emulator.operator_for([successor]).read_config_if_answered(TIMEOUT_S * 1000)
                return read.config is not None

            await emulator.wait_until(responds, "the successor responds", TIMEOUT_S)
            assert await emulator.processes.remove(old) == 0
            assert old not in emulator.processes.with_role("coordinator") and not old.data_directory.exists()
            write = await emulator.operator.replace_config(configs.next(), TIMEOUT_S * 1000)
            assert write.acknowledged_at_ms is not None
            reads = [
                await emulator.operator_for([machine]).read_config(TIMEOUT_S * 1000)
                for machine in emulator.processes.with_role("coordinator")
            ]
            assert [read.config and read.config["configVersion"] for read in reads] == [3, 3, 3]
            assert emulator.processes.describe_unexpected_exits() == []
        # Time bounds are relaxed: a delay on a busy machine is no violation.
        bounds = replace(SPEC.bounds, config_apply_ms=TIMEOUT_S * 1000, downgrade_slack_ms=TIMEOUT_S * 1000)
        violations_by_rule = check_records(emulator.records, bounds)
        assert {rule: violations for rule, violations in violations_by_rule.items() if violations} == {}

    asyncio.run(body())


def test_demo_offers_every_scenario() -> None:
    assert set(SCENARIO_NAMES) == set(SCENARIOS)
