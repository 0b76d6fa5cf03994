"""Simulation of the control plane in virtual time: production coordinators, gateways, operators and faults.

Each process has an event loop of its own (`process_loop`). Links between peers and HTTP run over simulated TCP
(`network`), and data directories are simulated disks (`simulated_disk`). Invariant: the schedule determines the run
completely, so that the same schedule produces the same operation history. Times are virtual seconds.

The names of hosts and operators seed their random generators: renaming one changes the run of every seed.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from types import SimpleNamespace
from typing import Final

from hallhitch.lab.simulation import fault_injection
from hallhitch.lab.simulation.faults import CLUSTER_WIDE_FAULTS
from hallhitch.lab.simulation.invariants import find_violations
from hallhitch.lab.simulation.machine import SimulatedCoordinator, SimulatedGateway, SimulatedMachine
from hallhitch.lab.simulation.network import Network
from hallhitch.lab.simulation.node_settings import coordinator_settings
from hallhitch.lab.simulation.operation_history import (
    Interval,
    Invariant,
    MemberAddition,
    OperationHistory,
    Violation,
)
from hallhitch.lab.simulation.operator_workload import SimulatedOperator, VersionSequence
from hallhitch.lab.simulation.process_loop import ProcessLoop
from hallhitch.lab.simulation.schedule import Schedule
from hallhitch.lab.simulation.simulated_platform import PLATFORM_HOST, PLATFORM_PORT, SimulatedPlatform
from hallhitch.node import clock as node_clock
from hallhitch.node.settings import NodeSettings, RuleBounds
from hallhitch.programs.coordinator import CoordinatorProgram

INTERNAL_PORT: Final = 7000
OPERATOR_PORT: Final = 9000
CLUSTER_NAME: Final = "simulated"
EVACUATED_ZONE_BY_OPERATOR: Final = {"one": "viti-a", "two": "viti-b"}
MAX_SEEDS: Final = 3
START_SPREAD_S: Final = 0.3  # window of the first starts of all machines
COORDINATOR_LIST_LAG_S: Final = 3.0  # age of the list that operators and the settings of later starts use
QUIET_PERIOD_S: Final = 11.0  # between the last fault and the final reads; longer than any bound of the settings
FINAL_READ_POLL_S: Final = 0.2
FINAL_READ_MARGIN_S: Final = 1.0  # added to the bound on an acknowledgement
MAX_STEPS: Final = 2_000_000  # far more than any run that terminates

Plan = Callable[["Simulation"], float]  # schedules operations and faults and returns when the last of them ends


class EndlessRunError(RuntimeError):
    """A run took more than `MAX_STEPS` steps."""

    def __init__(self, schedule: Schedule, now_s: float) -> None:
        super().__init__(f"the run did not get past virtual second {now_s:.3f}: {schedule}")


class Simulation:
    """All machines and operators of one run, and its recorded history."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.network = Network(schedule.seed, schedule.link_delay_ms)
        bounds = RuleBounds()
        self.history = OperationHistory(
            config_apply_bound_s=bounds.config_apply_ms / 1000,
            acknowledgement_bound_s=bounds.ack_timeout_ms / 1000,
            contact_window_s=bounds.contact_window_ms / 1000,
            drain_bound_s=schedule.drain_timeout_s,
            drains_listed_at_s={drain.instance: drain.listed_at_s for drain in schedule.drains},
        )
        self.unhandled_errors: list[str] = []  # of processes that have ended already
        initial_hosts = [f"10.0.0.{number}" for number in range(1, schedule.initial_coordinators + 1)]
        self.seed_hosts = tuple(initial_hosts[:MAX_SEEDS])
        self.coordinator_slots = [SimulatedCoordinator(self, host) for host in initial_hosts]
        self.gateways = [SimulatedGateway(self, f"10.0.1.{number}") for number in range(1, schedule.gateways + 1)]
        self.platform = SimulatedPlatform(self.network, schedule.drains)
        self.coordinators = {machine.host: machine for machine in self.coordinator_slots}  # including removed ones
        self.machines: dict[str, SimulatedMachine] = {
            machine.host: machine for machine in [*self.coordinator_slots, *self.gateways]
        }
        self.operators: list[SimulatedOperator] = []
        self._external_loops: list[ProcessLoop] = []
        self._known_member_hosts = set(initial_hosts)
        self._coordinator_lists: list[tuple[float, list[str]]] = []  # (valid since, hosts)
        self.record_coordinator_list()

    # --- Settings and member lists of processes and operators.

    def coordinator_node_settings(self, host: str, is_first_start: bool) -> NodeSettings:
        """Return the settings of a coordinator."""
        return replace(
            self._common_node_settings(host, is_first_start),
            cluster_name=CLUSTER_NAME,
            listen_addresses={"controlPlane": (host, OPERATOR_PORT)},
            cloud_api_address=(PLATFORM_HOST, PLATFORM_PORT) if self.schedule.drains else None,
        )

    def gateway_node_settings(self, host: str, is_first_start: bool) -> NodeSettings:
        """Return the settings of a gateway."""
        return replace(
            self._common_node_settings(host, is_first_start),
            cluster_name=CLUSTER_NAME,
            role="gateway",
            machine_class="edge",
            data_directory=None,
            serves=frozenset(),
        )

    def _common_node_settings(self, host: str, is_first_start: bool) -> NodeSettings:
        # The settings of a later start were written from an outdated list of coordinators.
        hosts = self.seed_hosts if is_first_start else self.listed_coordinators()[: len(self.seed_hosts)]
        seed_addresses = tuple(f"{seed_host}:{INTERNAL_PORT}" for seed_host in hosts)
        node = coordinator_settings(
            f"{host}:{INTERNAL_PORT}", is_first_start, seed_addresses, self.schedule.tolerated_losses
        )
        bounds = replace(
            node.bounds,
            catch_up_ms=self.schedule.catch_up_s * 1000,
            drain_timeout_ms=self.schedule.drain_timeout_s * 1000,
        )
        return replace(node, bounds=bounds)

    def record_coordinator_list(self) -> None:
        """Record the current machines of the slots in the operators' list."""
        hosts = [machine.host for machine in self.coordinator_slots]
        self._coordinator_lists.append((self.network.now_s, hosts))

    def listed_coordinators(self) -> list[str]:
        """Return the coordinators of the operators' list, which is `COORDINATOR_LIST_LAG_S` old."""
        list_time_s = self.network.now_s - COORDINATOR_LIST_LAG_S
        for valid_since_s, hosts in reversed(self._coordinator_lists):
            if valid_since_s <= list_time_s:
                return hosts
        return self._coordinator_lists[0][1]

    def record_members(self, program: CoordinatorProgram) -> None:
        """Record each host that becomes a member with the newest state of a coordinator."""
        for address in program._control.committed_state.members:
            host = address.partition(":")[0]
            if host in self._known_member_hosts:
                continue
            self._known_member_hosts.add(host)
            new_member = self.coordinators[host].program
            has_state = new_member is not None and not new_member._control._acceptor.state.is_recovering
            self.history.member_additions.append(MemberAddition(host, self.network.now_s, has_state))

    def add_coordinator(self, host: str) -> SimulatedCoordinator:
        """Add a coordinator machine without starting it."""
        machine = SimulatedCoordinator(self, host)
        self.coordinators[host] = self.machines[host] = machine
        return machine

    def add_external_process(self, host: str) -> ProcessLoop:
        """Add a process that is not subject to faults."""
        loop = ProcessLoop(lambda: self.network.now_s, self.network, host)
        self._external_loops.append(loop)
        return loop

    # --- The run.

    def run(self, plan: Plan | None = None) -> list[Violation]:
        """Run from the bootstrap to the final reads, and return the violated invariants.

        If a plan is given, it replaces the schedule's operations and faults.
        """
        with virtual_node_clock(self.network):
            try:
                self._bootstrap()
                activity_end_s = (plan or Simulation._start_schedule)(self)
                self.run_until(activity_end_s + QUIET_PERIOD_S)
                self.history.converged_by_s = activity_end_s + QUIET_PERIOD_S
                self._read_back()
                return find_violations(self.history) + self._unhandled_error_violations()
            finally:
                for machine in self.machines.values():
                    machine.end()
                for loop in self._external_loops:
                    loop.terminate()

    def _bootstrap(self) -> None:
        rng = random.Random(f"{self.schedule.seed} start")
        for machine in self.machines.values():
            self.network.call_at(rng.uniform(0.0, START_SPREAD_S), functools.partial(machine.start, True))
        platform_loop = self.add_external_process(PLATFORM_HOST)
        self.network.listen(platform_loop, PLATFORM_PORT, self.platform.serve_connection)
        versions = VersionSequence(random.Random(f"{self.schedule.seed} versions"))
        for name, zone in EVACUATED_ZONE_BY_OPERATOR.items():
            loop = self.add_external_process(f"operator-{name}")
            self.operators.append(
                SimulatedOperator(
                    name, loop, self.listed_coordinators, OPERATOR_PORT, self.history, self.schedule, versions, zone
                )
            )

    def _start_schedule(self) -> float:
        """Start the schedule's workload and faults, and return when both have ended."""
        schedule, history = self.schedule, self.history
        for operator in self.operators:
            operator.loop.spawn(operator.run())
        for fault in schedule.faults:
            fault_injection.inject(self, fault)
            history.fault_intervals.append(Interval(fault.starts_at_s, fault.ends_at_s + history.contact_window_s))
            if fault.kind in CLUSTER_WIDE_FAULTS:
                recovered_at_s = fault.recovered_at_s(schedule.catch_up_s)
                history.majority_losses.append(Interval(fault.starts_at_s, recovered_at_s))
        return max([schedule.duration_s, *(fault.ends_at_s for fault in schedule.faults)])

    def _read_back(self) -> None:
        """Run the final read of each operator until all have completed or the deadline passes."""
        for operator in self.operators:
            operator.loop.spawn(operator.read_back())
        deadline_s = self.network.now_s + self.history.acknowledgement_bound_s + FINAL_READ_MARGIN_S
        while self._has_pending_final_reads() and self.network.now_s < deadline_s:
            self.run_until(self.network.now_s + FINAL_READ_POLL_S)

    def _has_pending_final_reads(self) -> bool:
        completed = sum(
            operation.is_final_read and operation.completed_at_s is not None for operation in self.history.operations
        )
        return completed < len(self.operators)

    def _unhandled_error_violations(self) -> list[Violation]:
        running = [(machine.host, machine.loop) for machine in self.machines.values() if machine.loop is not None]
        running += [(loop.host, loop) for loop in self._external_loops]
        errors = self.unhandled_errors + [
            f"{host}: {error}" for host, loop in running for error in loop.unhandled_errors
        ]
        return [Violation(Invariant.NO_UNHANDLED_ERROR, error) for error in errors]

    def run_until(self, end_s: float) -> None:
        """Run all processes and network events up to a virtual time.

        At the same time network events run before processes, and processes in the order in which they were added.

        Raises:
            EndlessRunError: The run did not reach this time within `MAX_STEPS` steps.
        """
        network = self.network
        for _ in range(MAX_STEPS):
            loops = [machine.loop for machine in self.machines.values() if machine.loop is not None]
            next_at_s, next_loop = network.next_event_at_s(), None
            for loop in [*loops, *self._external_loops]:
                step_at_s = loop.next_step_at_s()
                if step_at_s < next_at_s:
                    next_at_s, next_loop = step_at_s, loop
            if next_at_s > end_s:
                network.now_s = end_s
                return
            network.now_s = max(network.now_s, next_at_s)
            if next_loop is None:
                network.run_next_event()
            else:
                next_loop.step()
        raise EndlessRunError(self.schedule, network.now_s)


@contextmanager
def virtual_node_clock(network: Network) -> Iterator[None]:
    """Make `hallhitch.node.clock.now` return virtual time, for components that are not given a clock."""
    clock_globals = vars(node_clock)
    real_time_module = clock_globals["time"]
    clock_globals["time"] = SimpleNamespace(monotonic=lambda: network.now_s)
    try:
        yield
    finally:
        clock_globals["time"] = real_time_module


def run_schedule(schedule: Schedule) -> list[Violation]:
    """Run a schedule and return the violated invariants."""
    return Simulation(schedule).run()
