"""A scenario in which processes of an earlier release are replaced by those of this one, one after the other.

A configuration is in force that the earlier release acknowledged and that this one may refuse. Its order is sent again
during the whole replacement, and requests arrive. Half of the seeds replace the gateways first, the others the
coordinators. Backends are drained meanwhile, by a proper list, as earlier releases cannot read another; afterwards rows
of the list are unreadable and invalid configurations come between valid ones. Times are in seconds.
"""

from __future__ import annotations

import asyncio
import copy
import itertools
from typing import Any, Final

from hallhitch.lab.emulator.control_scenarios import DRAIN_MARGIN_MS, ConfigSequence
from hallhitch.lab.emulator.emulator import Emulator
from hallhitch.lab.emulator.node_file import Machine
from hallhitch.lab.emulator.operator_config import with_wrong_value
from hallhitch.lab.emulator.records import Config, FaultInterval
from hallhitch.lab.emulator.traffic import PlannedFault
from hallhitch.lab.emulator.unreadable_rows import UnreadableRows
from hallhitch.node.clock import now

START_RATIO: Final = 0.05  # of the run, before the first replacement
PAUSE_S: Final = 1.0  # between two replacements
ORDER_INTERVAL_S: Final = 0.5
DRAIN_INTERVAL_S: Final = 1.5
RECOVERY_S: Final = 15.0  # after which a replaced gateway has to be ready
UNREADABLE_ROW_RATIO: Final = 0.15
# Values of a tenant that earlier releases acknowledged: the first one 6d42b82 and those before, the second one fc521f6.
EARLIER_VALUES: Final[tuple[dict[str, Any], ...]] = ({"priority": ""}, {"apiKeys": ["key with a line\nend"]})


def upgrades(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Replace all machines, starting early in the run; the rest of the run has invalid and unreadable data."""
    replacement = _Replacement(emulator, duration_s)
    return [
        PlannedFault(0.0, "an earlier release's configuration is ordered again and again", replacement.send_orders),
        PlannedFault(0.0, "backends are replaced continuously", replacement.replace_backends),
        PlannedFault(duration_s * START_RATIO, "all machines are replaced by this release", replacement.run),
    ]


class _Replacement:
    def __init__(self, emulator: Emulator, duration_s: float) -> None:
        self._emulator = emulator
        self._began_at_ms = now()
        self._ends_at_ms = self._began_at_ms + duration_s * 1000
        self._is_complete = False

    async def run(self) -> None:
        """Replace one gateway of each zone at a time, and one coordinator at a time."""
        processes, seed = self._emulator.processes, self._emulator.spec.seed
        coordinators = [[machine] for machine in processes.with_role("coordinator")]
        by_zone: dict[str, list[Machine]] = {}
        for machine in processes.with_role("gateway"):
            by_zone.setdefault(machine.zone, []).append(machine)
        gateways = [[machine for machine in group if machine] for group in itertools.zip_longest(*by_zone.values())]
        for group in [*gateways, *coordinators] if seed % 2 else [*coordinators, *gateways]:
            await asyncio.gather(*(self._replace(machine) for machine in group))
            await asyncio.sleep(PAUSE_S)
        self._emulator.backends.unreadable_rows = UnreadableRows(seed, UNREADABLE_ROW_RATIO)
        self._is_complete = True

    async def _replace(self, machine: Machine) -> None:
        processes = self._emulator.processes
        await processes.terminate(machine)
        machine.runs_earlier_release = False
        await processes.restart(machine, "upgraded")
        if machine.role == "gateway":
            # What the earlier release does with its own configuration is not judged.
            interval = FaultInterval(self._began_at_ms, now(), machine.name, "earlier release")
            self._emulator.records.fault_intervals.append(interval)
            description = f"{machine.name} of this release is ready"
            await self._emulator.wait_until(lambda: self._emulator.is_ready(machine), description, RECOVERY_S)

    async def send_orders(self) -> None:
        """Order the earlier configuration until all machines are replaced, then valid and invalid ones in turn."""
        operator, configs = self._emulator.operator, ConfigSequence(self._emulator)
        for values in EARLIER_VALUES:
            earlier = _with_tenant_values(configs.next(), values)
            if (await operator.replace_config(earlier)).acknowledged_at_ms is not None:
                break
        while not self._is_complete and now() < self._ends_at_ms:
            await operator.replace_config(earlier)
            await asyncio.sleep(ORDER_INTERVAL_S)
        for number in itertools.count():
            if now() >= self._ends_at_ms:
                return
            await operator.replace_config(configs.next())
            await operator.replace_config(with_wrong_value(configs.next(), number), is_valid=False)
            await asyncio.sleep(ORDER_INTERVAL_S)

    async def replace_backends(self) -> None:
        """Start a new backend, then drain the oldest one, again and again."""
        fleet, spec = self._emulator.backends, self._emulator.spec
        for region, zone in itertools.cycle(spec.zone_numbers()):
            if now() >= self._ends_at_ms:
                return
            oldest = next(backend for backend in fleet.backends.values() if not backend.is_draining)
            await self._emulator.start_backend(oldest.spec.service, region, zone, is_cold=False)
            fleet.drain(oldest, spec.bounds.drain_timeout_ms + DRAIN_MARGIN_MS)
            await asyncio.sleep(DRAIN_INTERVAL_S)


def _with_tenant_values(config: Config, values: dict[str, Any]) -> Config:
    """Return a copy of a configuration with a further tenant that has these values."""
    document: dict[str, Any] = copy.deepcopy(dict(config))
    document["tenants"]["earlier"] = {"apiKeys": ["key-earlier"], "allowedRegions": [], **values}
    return document
