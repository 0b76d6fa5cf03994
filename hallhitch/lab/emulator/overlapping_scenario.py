"""A scenario drawn by the seed: signals, restarts and kills in series that overlap, under constant drains and changes.

Acknowledged configurations are sent again, invalid ones come between them, and the instance list has unreadable rows.

Clients that ignore the directory for their open connections (`EmulatorSpec.clients_stay_connected`) use a gateway until
its process is gone; `shutdown_traffic` sends long requests on connections to each gateway that gets SIGTERM. At most
one coordinator is down at a time, except while all are killed at once, so nothing that was acknowledged may be lost.
Times are in seconds.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from hallhitch.lab.emulator.control_scenarios import DRAIN_MARGIN_MS, ConfigSequence
from hallhitch.lab.emulator.emulator import Emulator
from hallhitch.lab.emulator.node_file import Machine
from hallhitch.lab.emulator.operator_config import with_wrong_value
from hallhitch.lab.emulator.shutdown_traffic import CONNECT_S, PlannedUse, ShutdownTraffic
from hallhitch.lab.emulator.traffic import PlannedFault
from hallhitch.lab.emulator.unreadable_rows import UnreadableRows
from hallhitch.lab.streams import Stream, Streams
from hallhitch.node.clock import now

STABLE_RATIO: Final = 0.15  # of the run at its start, without faults
FAULTS_END_RATIO: Final = 0.85  # of the run; the rest shows whether it recovers
MEAN_PAUSE_S: Final = 1.0  # between two faults
DOWN_S: Final = (0.2, 1.0, 3.0)  # drawn time for which a process is down or paused
CONFIG_INTERVAL_S: Final = 0.3
RESENT_RATIO: Final = 0.3  # of the configurations, sent again once they were acknowledged
INVALID_RATIO: Final = 0.3  # of the configurations, followed by an invalid one
WRONG_VALUE_CHOICES: Final = 1000  # more than there are wrong values and places
UNREADABLE_ROW_RATIO: Final = 0.15  # of the rows of the instance list
DRAIN_INTERVAL_S: Final = 0.8
SIGNALS_IN_SERIES: Final = 3
SIGNAL_INTERVAL_S: Final = 0.05


def overlapping_faults(emulator: Emulator, duration_s: float) -> list[PlannedFault]:
    """Change configurations and drain backends all the time, and inject drawn faults, which may overlap."""
    faults = _OverlappingFaults(emulator)
    planned = [
        PlannedFault(0.0, "configurations are written continuously", lambda: faults.write_configs(duration_s)),
        PlannedFault(0.0, "backends are replaced continuously", lambda: faults.replace_backends(duration_s)),
    ]
    at_s = STABLE_RATIO * duration_s
    while at_s < FAULTS_END_RATIO * duration_s:
        description, inject = faults.draw()
        planned.append(PlannedFault(at_s, description, inject))
        at_s += faults.stream.exponential(MEAN_PAUSE_S)
    return planned


@dataclass(frozen=True, slots=True)
class _Fault:
    """A fault that was drawn: its machines, and how it is injected into each of them."""

    description: str
    machines: Sequence[Machine]
    inject: Callable[[Machine], Awaitable[None]]


class _OverlappingFaults:
    """Draws faults. A fault is skipped if its machine, or any coordinator, already has one."""

    def __init__(self, emulator: Emulator) -> None:
        self.stream: Stream = Streams(emulator.spec.seed).of("overlapping faults")
        self._emulator = emulator
        self._processes = emulator.processes
        self._shutdown_traffic = ShutdownTraffic(emulator, self.stream)
        self._faulty: set[str] = set()  # names of machines, of all coordinators while one of them has a fault

    def draw(self) -> tuple[str, Callable[[], Awaitable[None]]]:
        """Draw a fault and return its description and its injection."""
        gateway, coordinator = self._draw_machine("gateway"), self._draw_machine("coordinator")
        down_s = DOWN_S[self.stream.index(len(DOWN_S))]
        faults = [*self._gateway_faults(gateway, down_s), *self._coordinator_faults(coordinator, down_s)]
        fault = faults[self.stream.index(len(faults))]
        return fault.description, lambda: self._inject_if_possible(fault)

    def _draw_machine(self, role: str) -> Machine:
        machines = self._processes.with_role(role)
        return machines[self.stream.index(len(machines))]

    def _gateway_faults(self, gateway: Machine, down_s: float) -> list[_Fault]:
        zone_gateways = [machine for machine in self._processes.with_role("gateway") if machine.zone == gateway.zone]
        uses = {machine.name: self._shutdown_traffic.draw() for machine in zone_gateways}

        async def shut_down(machine: Machine) -> None:
            await self._shut_down(machine, uses[machine.name], self._terminate)

        async def shut_down_by_series(machine: Machine) -> None:
            await self._shut_down(machine, uses[machine.name], self._signal_in_series)

        name = gateway.name
        return [
            _Fault(f"{name} gets SIGTERM and restarts", [gateway], shut_down),
            _Fault(f"all gateways of {gateway.zone} get SIGTERM and restart", zone_gateways, shut_down),
            _Fault(f"{name} gets signals in series and restarts", [gateway], shut_down_by_series),
            _Fault(f"{name} is killed for {down_s:g} s", [gateway], partial(self._kill, down_s)),
            _Fault(f"{name} is paused for {down_s:g} s", [gateway], partial(self._pause, down_s)),
            _Fault(f"{name} gets SIGHUP with other seeds", [gateway], partial(self._reload, down_s)),
        ]

    def _coordinator_faults(self, coordinator: Machine, down_s: float) -> list[_Fault]:
        coordinators, name = self._processes.with_role("coordinator"), coordinator.name
        return [
            _Fault(f"{name} gets SIGTERM and restarts", [coordinator], self._terminate),
            _Fault(f"{name} is killed for {down_s:g} s", [coordinator], partial(self._kill, down_s)),
            _Fault(f"{name} is paused for {down_s:g} s", [coordinator], partial(self._pause, down_s)),
            _Fault(f"all coordinators are killed for {down_s:g} s", coordinators, partial(self._kill, down_s)),
        ]

    async def _inject_if_possible(self, fault: _Fault) -> None:
        names = {machine.name for machine in fault.machines}
        coordinator_names = {machine.name for machine in self._processes.with_role("coordinator")}
        if names & coordinator_names:
            names |= coordinator_names
        if names & self._faulty:
            return
        self._faulty |= names
        try:
            await asyncio.gather(*(fault.inject(machine) for machine in fault.machines))
        finally:
            self._faulty -= names

    async def _shut_down(
        self, gateway: Machine, uses: Sequence[PlannedUse], inject: Callable[[Machine], Awaitable[None]]
    ) -> None:
        """Shut a gateway down while clients use their connections to it until its process is gone."""

        async def inject_when_connected() -> None:
            await asyncio.sleep(CONNECT_S)
            await inject(gateway)

        await asyncio.gather(self._shutdown_traffic.run(gateway, uses), inject_when_connected())

    async def _terminate(self, machine: Machine) -> None:
        await self._processes.terminate(machine)
        await self._processes.restart(machine, "left")

    async def _signal_in_series(self, machine: Machine) -> None:
        """Send SIGHUP, then SIGTERM several times while the process shuts down."""
        self._processes.reload_seeds(machine, self._processes.seed_addresses())
        termination = asyncio.ensure_future(self._processes.terminate(machine))
        for signal_number in (signal.SIGHUP, signal.SIGTERM) * SIGNALS_IN_SERIES:
            await asyncio.sleep(SIGNAL_INTERVAL_S)
            self._processes.send_signal(machine, signal_number)
        await termination
        await self._processes.restart(machine, "left")

    async def _kill(self, down_s: float, machine: Machine) -> None:
        await self._processes.kill(machine)
        await asyncio.sleep(down_s)
        await self._processes.restart(machine, "killed")

    async def _pause(self, down_s: float, machine: Machine) -> None:
        self._processes.pause(machine)
        await asyncio.sleep(down_s)
        self._processes.resume(machine)

    async def _reload(self, down_s: float, machine: Machine) -> None:
        seeds = self._processes.seed_addresses()
        self._processes.reload_seeds(machine, seeds[1:])
        await asyncio.sleep(down_s)
        self._processes.reload_seeds(machine, seeds)

    async def write_configs(self, duration_s: float) -> None:
        """Write configurations one after another, some of them twice, and invalid ones between them."""
        operator, orders = self._emulator.operator, Streams(self._emulator.spec.seed).of("orders")
        configs, ends_at_ms = ConfigSequence(self._emulator), now() + duration_s * 1000
        config = configs.next()
        while now() < ends_at_ms:
            await operator.replace_config(config)
            if orders.chance(RESENT_RATIO):
                await operator.replace_config(config)
            if orders.chance(INVALID_RATIO):
                invalid = with_wrong_value(configs.next(), orders.index(WRONG_VALUE_CHOICES))
                await operator.replace_config(invalid, is_valid=False)
            config = configs.next()
            await asyncio.sleep(CONFIG_INTERVAL_S)

    async def replace_backends(self, duration_s: float) -> None:
        """Replace backends one at a time, under a list with unreadable rows: start a new one, then drain the oldest."""
        fleet, spec = self._emulator.backends, self._emulator.spec
        fleet.unreadable_rows = UnreadableRows(spec.seed, UNREADABLE_ROW_RATIO)
        zones = spec.zone_numbers()
        ends_at_ms = now() + duration_s * 1000
        while now() < ends_at_ms:
            oldest = next(backend for backend in fleet.backends.values() if not backend.is_draining)
            region, zone = zones[self.stream.index(len(zones))]
            await self._emulator.start_backend(oldest.spec.service, region, zone, is_cold=False)
            fleet.drain(oldest, spec.bounds.drain_timeout_ms + DRAIN_MARGIN_MS)
            await asyncio.sleep(DRAIN_INTERVAL_S)
