"""Fault scenarios for the control plane: partitions, replacement of every machine, and hundreds of changes.

In addition to the usual rules, acknowledged configurations are read back during the fault, also through a coordinator
that may lack a majority and then need not respond. Where a read is checked, only one write or read is in flight at a
time, so that the expected result is unambiguous. Times are in seconds from the start of traffic.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from hallhitch.lab.emulator.emulator import Emulator
from hallhitch.lab.emulator.node_file import Machine
from hallhitch.lab.emulator.operator_config import config_document, move_route
from hallhitch.lab.emulator.records import Config
from hallhitch.lab.emulator.traffic import PlannedFault
from hallhitch.node.clock import now

WRITE_INTERVAL_S: Final = 0.5
MINORITY_TIMEOUT_MS: Final = 1200.0  # for a coordinator that may lack a majority, which gives up a call after 1000 ms
OVERLAP_S: Final = 1.0  # for which a replaced machine keeps running beside its successor
CHANGE_COUNT: Final = 300
DRAIN_MARGIN_MS: Final = 1000.0  # for which a draining backend keeps running beyond the drain timeout
DRAIN_INTERVAL_S: Final = 1.5
MISSED_CHANGES: Final = 20  # by a coordinator that is down

Injection = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class ConfigSequence:
    """Configurations with ascending versions that move one route back and forth between two services."""

    emulator: Emulator
    _versions: Iterator[int] = field(default_factory=lambda: itertools.count(2))

    def next(self) -> Config:
        """Return the next configuration."""
        version = next(self._versions)
        return self.with_service(version, "shelf" if version % 2 else "vault")

    def with_service(self, version: int, service: str) -> Config:
        """Return a configuration that routes to a service."""
        return move_route(config_document(self.emulator.spec, version), "ask", service, version)

    def next_conflicting_pair(self) -> tuple[Config, Config]:
        """Return two different configurations with the same version."""
        version = next(self._versions)
        return self.with_service(version, "shelf"), self.with_service(version, "vault")


async def _write_configs(emulator: Emulator, configs: ConfigSequence, duration_s: float) -> None:
    """Write configurations one at a time and read each one back."""
    ends_at_ms = now() + duration_s * 1000
    while now() < ends_at_ms:
        await emulator.operator.replace_config(configs.next())
        await emulator.operator.read_config()
        await asyncio.sleep(WRITE_INTERVAL_S)


def coordinator_partitions(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Partition a coordinator from the others for a third of the run, then from all gateways for as long.

    Operators write to both sides. As each partition ends, they write two different configurations with the same
    version. Requires relays.
    """
    isolated, *others = emulator.processes.with_role("coordinator")
    gateways = emulator.processes.with_role("gateway")
    partition_s = duration_s / 3
    isolated_operator, majority_operator = emulator.operator_for([isolated]), emulator.operator_for(others)
    configs = ConfigSequence(emulator)

    async def write_on_both_sides(ends_at_ms: float) -> None:
        while now() < ends_at_ms:
            await majority_operator.replace_config(configs.next())
            await isolated_operator.read_config_if_answered(MINORITY_TIMEOUT_MS)
            await isolated_operator.replace_config(configs.next(), MINORITY_TIMEOUT_MS)
            await majority_operator.read_config()
            await asyncio.sleep(WRITE_INTERVAL_S)

    def partition_from(peers: list[Machine]) -> Injection:
        async def inject() -> None:
            partition = asyncio.ensure_future(emulator.partition([isolated], peers, partition_s))
            await write_on_both_sides(now() + (partition_s - WRITE_INTERVAL_S) * 1000)
            first, second = configs.next_conflicting_pair()
            await asyncio.gather(
                partition, isolated_operator.replace_config(first), majority_operator.replace_config(second)
            )
            await emulator.operator.read_config()

        return inject

    suffix = f"for {partition_s:g} s, with writes on both sides"
    return [
        PlannedFault(
            duration_s * 0.05,
            f"{isolated.name} partitioned from the other coordinators {suffix}",
            partition_from(others),
        ),
        PlannedFault(
            duration_s * 0.55, f"{isolated.name} partitioned from all gateways {suffix}", partition_from(gateways)
        ),
    ]


def coordinator_replacements(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Replace every coordinator by a machine without data at another host while configurations are written.

    As soon as the system must tolerate another loss after a replacement, another coordinator is killed and stays down
    for the catch-up time.
    """
    initial, configs = emulator.processes.with_role("coordinator"), ConfigSequence(emulator)
    catch_up_s = emulator.spec.catch_up_ms / 1000

    def replace(old: Machine) -> Injection:
        async def inject() -> None:
            successor = await emulator.start_successor(old)
            catching_up = asyncio.ensure_future(asyncio.sleep(catch_up_s))
            await asyncio.sleep(OVERLAP_S)
            await emulator.processes.remove(old)
            await catching_up
            coordinators = emulator.processes.with_role("coordinator")
            victim = next(machine for machine in coordinators if machine is not successor)
            await emulator.processes.kill(victim)
            await asyncio.sleep(catch_up_s)
            await emulator.processes.restart(victim, "killed")

        return inject

    interval_s = duration_s * 0.9 / len(initial)
    faults = [
        PlannedFault(
            duration_s * 0.05,
            "configurations are written continuously",
            lambda: _write_configs(emulator, configs, duration_s * 0.9),
        )
    ]
    for number, old in enumerate(initial):
        description = f"a new machine replaces {old.name}; another coordinator is down for {catch_up_s:g} s"
        faults.append(PlannedFault(duration_s * 0.05 + interval_s * number, description, replace(old)))
    return faults


def many_config_changes(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Write hundreds of configurations while one coordinator is restarted and another loses its disk.

    Each of the two misses some changes. Afterwards the one that was up all the time is killed, and the configuration is
    read from each of the two.
    """
    restarted, wiped, uninterrupted = emulator.processes.with_role("coordinator")[:3]
    configs, processes = ConfigSequence(emulator), emulator.processes

    async def terminate() -> None:
        await processes.terminate(restarted)

    faults_by_change: dict[int, Injection] = {
        CHANGE_COUNT // 3: terminate,
        CHANGE_COUNT // 3 + MISSED_CHANGES: lambda: processes.restart(restarted, "restarted"),
        CHANGE_COUNT * 2 // 3: lambda: processes.kill(wiped, wipes_disk=True),
        CHANGE_COUNT * 2 // 3 + MISSED_CHANGES: lambda: processes.restart(wiped, "wiped"),
    }

    async def inject() -> None:
        for number in range(CHANGE_COUNT):
            if number in faults_by_change:
                await faults_by_change[number]()
            await emulator.operator.replace_config(configs.next())
        await asyncio.sleep(emulator.spec.catch_up_ms / 1000)
        await processes.kill(uninterrupted)
        for machine in (restarted, wiped):
            await emulator.operator_for([machine]).read_config()
        await processes.restart(uninterrupted, "killed")

    description = (
        f"{CHANGE_COUNT} configurations are written; {restarted.name} is restarted, {wiped.name} loses its disk"
    )
    return [
        PlannedFault(duration_s * 0.05, description, inject),
        PlannedFault(
            duration_s * 0.05, "half of the backends are replaced in turn", lambda: _replace_backends_in_turn(emulator)
        ),
    ]


async def _replace_backends_in_turn(emulator: Emulator) -> None:
    """Replace half of the backends one at a time: start a new one, then drain an old one."""
    fleet, bounds = emulator.backends, emulator.spec.bounds
    for backend in list(fleet.backends.values())[::2]:
        await emulator.start_backend(backend.spec.service, 1, 1, is_cold=False)
        fleet.drain(backend, bounds.drain_timeout_ms + DRAIN_MARGIN_MS)
        await asyncio.sleep(DRAIN_INTERVAL_S)
