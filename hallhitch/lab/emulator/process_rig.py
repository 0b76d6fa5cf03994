"""Runs the system's programs as real processes on loopback: settings files, starts, stops and faults.

A machine has a host, a settings file and, if its role keeps data, a data directory, all of which outlive its process.
The rig stops only processes that it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from hallhitch.lab.emulator.connection_owners import Address
from hallhitch.lab.emulator.deploy_roles import ROOT, read_roles
from hallhitch.lab.emulator.node_file import Machine, listen_addresses, node_file_text
from hallhitch.lab.emulator.ports import INTERNAL_OFFSET
from hallhitch.lab.emulator.records import FaultInterval, Records, Termination
from hallhitch.lab.emulator.spec import EmulatorSpec
from hallhitch.node.clock import now

RELAYED_PROGRAM: Final = "hallhitch.lab.emulator.relayed_program"
RESTART_DELAY_S: Final = 0.3  # from an unexpected exit until the restart
MAX_RESTARTS: Final = 3  # after unexpected exits; a process that exceeds this fails at every start
KILL_TIMEOUT_S: Final = 10.0  # for a killed process to exit
INHERITED_VARIABLES: Final = ("PATH", "HOME", "LANG", "VIRTUAL_ENV")
MAX_SEEDS: Final = 3
FIRST_COORDINATOR_HOST: Final = 101  # last octet of its address
FIRST_GATEWAY_HOST: Final = 1
FIRST_SUCCESSOR_HOST: Final = 120  # above all other machines except backends


class ProcessRig:
    """All machines of an emulator and their processes, which connect over relays if `is_relayed`."""

    def __init__(
        self,
        spec: EmulatorSpec,
        base_port: int,
        directory: Path,
        platform: Address,
        records: Records,
        is_relayed: bool = False,
    ) -> None:
        self.spec = spec
        self.base_port = base_port
        self.roles = read_roles()
        self.machines: dict[str, Machine] = {}
        self.removed: list[Machine] = []
        self.unexpected_exit = asyncio.Event()
        self._is_relayed = is_relayed
        self._earlier_release = ROOT  # of another checkout, if some machines run its programs
        self._platform = platform
        self._records = records
        self._directory = directory
        self._machine_count = 0
        self._add_initial_machines()

    # --- Machines.

    def _add_initial_machines(self) -> None:
        spec = self.spec
        zone_numbers = spec.zone_numbers()
        for number in range(spec.coordinators):
            location = zone_numbers[number % len(zone_numbers)]
            self._add_initial_machine("coordinator", f"core-{number + 1}", location, FIRST_COORDINATOR_HOST + number)
        for region, zone in zone_numbers:
            for number in range(spec.gateways_per_zone):
                name = f"edge-{region}{zone}{number + 1}"
                self._add_initial_machine("gateway", name, (region, zone), FIRST_GATEWAY_HOST + number)

    def _add_initial_machine(self, role: str, name: str, location: tuple[int, int], host_number: int) -> None:
        region, zone = location
        host = f"127.{region}.{zone}.{host_number}"
        self._add_machine(role, name, host, self.spec.zone_name(region, zone), self.spec.region_name(region))

    def _add_machine(self, role: str, name: str, host: str, zone: str, region: str) -> Machine:
        self._machine_count += 1
        machine = Machine(
            name,
            role,
            self.roles[role].serves,
            host,
            zone,
            region,
            number=self._machine_count,
            directory=self._directory / name,
        )
        self.machines[name] = machine
        return machine

    def add_successor(self, old: Machine) -> Machine:
        """Add a machine without data, with the role and zone of another and a new host, without starting it."""
        network, name_prefix = old.host.rpartition(".")[0], old.name.partition("-")[0]
        host = f"{network}.{FIRST_SUCCESSOR_HOST + self._machine_count}"
        machine = self._add_machine(old.role, f"{name_prefix}-{self._machine_count + 1}", host, old.zone, old.region)
        machine.is_initial = False
        return machine

    def with_role(self, role: str) -> list[Machine]:
        """Return all machines with a role."""
        return [machine for machine in self.machines.values() if machine.role == role]

    def with_service(self, service: str) -> list[Machine]:
        """Return all machines that serve `edge`, `control_plane` or `directory`."""
        return [machine for machine in self.machines.values() if service in machine.serves]

    def process_names(self) -> dict[int, str]:
        """Return the names of the machines with a running process, by pid."""
        return {
            machine.process.pid: machine.name
            for machine in self.machines.values()
            if machine.process is not None and machine.is_running
        }

    def seed_addresses(self) -> list[str]:
        """Return the addresses of the seed nodes for the settings files."""
        seeds = self.with_service("control_plane")[:MAX_SEEDS]
        return [listen_addresses(machine, self.base_port)["controlPlane"] for machine in seeds]

    def use_earlier_release(self, root: Path) -> None:
        """Start all machines with the programs of another checkout, until `Machine.runs_earlier_release` is unset."""
        self._earlier_release = root
        for machine in self.machines.values():
            machine.runs_earlier_release = True

    # --- Starts.

    def write_node_file(self, machine: Machine, is_first_start: bool, seeds: Sequence[str] | None = None) -> Path:
        """Write a machine's settings file atomically."""
        machine.data_directory.mkdir(parents=True, exist_ok=True)
        path, partial_path = machine.directory / "settings.toml", machine.directory / "settings.part"
        partial_path.write_text(
            node_file_text(
                self.spec, machine, self.base_port, seeds or self.seed_addresses(), is_first_start, self._platform
            )
        )
        partial_path.replace(path)
        return path

    async def start(self, machine: Machine) -> None:
        """Write a machine's settings file and start its process."""
        path = self.write_node_file(machine, machine.is_initial and not machine.was_started)
        environment = {name: os.environ[name] for name in INHERITED_VARIABLES if name in os.environ}
        arguments = [self.roles[machine.role].module]
        if self._is_relayed:
            internal_port = self.base_port + INTERNAL_OFFSET
            arguments = [RELAYED_PROGRAM, *arguments, str(machine.number), machine.host, str(internal_port)]
        with open(machine.log_file, "ab") as log:  # noqa: ASYNC230  a small local file, before traffic
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                *arguments,
                cwd=self._earlier_release if machine.runs_earlier_release else ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment | {"HALLHITCH_NODE_FILE": str(path)},
            )
        machine.process = process
        machine.was_started = True
        machine.is_end_requested = False
        machine.is_paused = False
        self._records.process_starts.append((now(), machine.name))
        machine.watcher = asyncio.get_running_loop().create_task(self._watch(machine, process))

    async def _watch(self, machine: Machine, process: asyncio.subprocess.Process) -> None:
        """Restart a process that exits unexpectedly, up to `MAX_RESTARTS` times."""
        exit_code = await process.wait()
        if not machine.is_end_requested:
            machine.unexpected_exit_codes.append(exit_code)
            self.unexpected_exit.set()
            await asyncio.sleep(RESTART_DELAY_S)
            if len(machine.unexpected_exit_codes) <= MAX_RESTARTS and not machine.is_end_requested:
                await self.start(machine)

    def describe_unexpected_exits(self) -> list[str]:
        """Describe each process that exited unexpectedly, with its exit codes and the last line of its log."""
        descriptions = []
        for machine in (*self.machines.values(), *self.removed):
            if machine.unexpected_exit_codes:
                exit_codes = ", ".join(map(str, machine.unexpected_exit_codes))
                last_line = (machine.last_lines(1) or ["empty log"])[0]
                descriptions.append(f"{machine.name} exited unexpectedly (exit code {exit_codes}): {last_line}")
        return descriptions

    async def start_all(self) -> None:
        """Start all machines that are not running."""
        await asyncio.gather(*(self.start(machine) for machine in self.machines.values() if not machine.is_running))

    # --- Faults.

    def record_fault(self, machine: Machine, fault: str, begin_ms: float, end_ms: float) -> None:
        """Record a fault of a machine, for coordinators also under the target "core"."""
        targets = ("core", machine.name) if machine.role == "coordinator" else (machine.name,)
        self._records.fault_intervals += [FaultInterval(begin_ms, end_ms, target, fault) for target in targets]

    def _record_recovery(self, machine: Machine, fault: str) -> None:
        """Record the fault of a machine that was down until now."""
        if machine.down_since_ms is not None:
            self.record_fault(machine, fault, machine.down_since_ms, now())
            machine.down_since_ms = None

    async def kill(self, machine: Machine, wipes_disk: bool = False) -> None:
        """Kill a process, which stays down until `restart`, and delete its data directory if `wipes_disk`."""
        await self._stop(machine, signal.SIGKILL)
        if wipes_disk:
            shutil.rmtree(machine.data_directory, ignore_errors=True)

    async def terminate(self, machine: Machine, timeout_ms: float | None = None) -> int:
        """Send SIGTERM, kill the process after a timeout (None: the grace period), and return its exit code."""
        return await self._stop(machine, signal.SIGTERM, timeout_ms)

    async def _stop(self, machine: Machine, signal_number: signal.Signals, timeout_ms: float | None = None) -> int:
        process = machine.process
        if process is None or process.returncode is not None:
            return 0
        machine.is_end_requested, machine.down_since_ms = True, now()
        if signal_number == signal.SIGTERM:
            self._records.terminations.append(Termination(machine.down_since_ms, machine.name))
        process.send_signal(signal_number)
        timeout_ms = self.spec.grace_period_ms if timeout_ms is None else timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):  # it may have ended at this very moment
                process.kill()
            return await process.wait()

    async def restart(self, machine: Machine, fault: str = "down") -> None:
        """Start a process again after `kill` or `terminate`, and record the fault."""
        await self.start(machine)
        self._record_recovery(machine, fault)

    async def remove(self, machine: Machine) -> int:
        """Terminate a process, remove its machine and data directory for good, and return the exit code."""
        exit_code = await self.terminate(machine)
        self._record_recovery(machine, "removed")
        shutil.rmtree(machine.data_directory, ignore_errors=True)
        self.removed.append(self.machines.pop(machine.name))
        return exit_code

    def pause(self, machine: Machine) -> None:
        """Pause a process with SIGSTOP, so that it stops responding while its connections stay open."""
        if machine.process is not None and machine.is_running:
            machine.is_paused, machine.down_since_ms = True, now()
            machine.process.send_signal(signal.SIGSTOP)

    def resume(self, machine: Machine) -> None:
        """Resume a paused process and record the fault."""
        if machine.process is not None and machine.is_running and machine.is_paused:
            machine.is_paused = False
            machine.process.send_signal(signal.SIGCONT)
            self._record_recovery(machine, "paused")

    def send_signal(self, machine: Machine, signal_number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        if machine.process is not None and machine.is_running:
            machine.process.send_signal(signal_number)

    def reload_seeds(self, machine: Machine, seeds: Sequence[str]) -> None:
        """Write new seeds into a machine's settings file and make the process reload it."""
        self.write_node_file(machine, False, seeds)
        self.send_signal(machine, signal.SIGHUP)

    async def close(self) -> None:
        """Kill all processes and wait until they have exited."""
        running = [machine for machine in self.machines.values() if machine.is_running]
        for machine in self.machines.values():
            machine.is_end_requested = True
        for machine in running:
            if machine.process is not None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines.values():
            if machine.process is not None:
                await asyncio.wait_for(machine.process.wait(), KILL_TIMEOUT_S)
            if machine.watcher is not None:
                machine.watcher.cancel()
            self._record_recovery(machine, "down")
