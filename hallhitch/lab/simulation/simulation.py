"""The control plane in virtual time: coordinators as in service, gateways that follow, operators, faults.

Each process has an event loop of its own (`process_loop`); links and HTTP run over simulated TCP (`network`); data
directories are simulated disks (`simulated_disk`). Invariant: everything in a run follows from its schedule, so that
the same schedule gives the same operation history. Times are virtual seconds.

The names of hosts and operators seed their generators: another name is another run of the same seed.
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
from hallhitch.node import clock as node_clock
from hallhitch.node.settings import NodeSettings, RuleBounds
from hallhitch.programs.coordinator import CoordinatorProgram

INTERNAL_PORT: Final = 7000
OPERATOR_PORT: Final = 9000
CLUSTER_NAME: Final = "simulated"
EVACUATED_ZONE_BY_OPERATOR: Final = {"one": "viti-a", "two": "viti-b"}
MAX_SEEDS: Final = 3
START_SPREAD_S: Final = 0.3  # in which all machines start at first
COORDINATOR_LIST_LAG_S: Final = 3.0  # of the list that operators and newly written settings have
QUIET_PERIOD_S: Final = 11.0  # after the last fault until all must agree; longer than any bound of the settings
FINAL_READ_POLL_S: Final = 0.2
FINAL_READ_MARGIN_S: Final = 1.0  # beyond the bound of an acknowledgement
MAX_STEPS: Final = 2_000_000  # far above any run that ends

Plan = Callable[["Simulation"], float]  # schedules what happens and returns the second at which it is over


class EndlessRunError(RuntimeError):
    """A run took more steps than any run that ends."""

    def __init__(self, schedule: Schedule, now_s: float) -> None:
        super().__init__(f"the run does not get past virtual second {now_s:.3f}: {schedule}")


class Simulation:
    """All machines, operators and what happens to them."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.network = Network(schedule.seed, schedule.link_delay_ms)
        bounds = RuleBounds()
        self.history = OperationHistory(
            config_apply_bound_s=bounds.config_apply_ms / 1000,
            acknowledgement_bound_s=bounds.ack_timeout_ms / 1000,
            contact_window_s=bounds.contact_window_ms / 1000,
        )
        self.unhandled_errors: list[str] = []  # of processes that have ended
        initial_hosts = [f"10.0.0.{number}" for number in range(1, schedule.initial_coordinators + 1)]
        self.seed_hosts = tuple(initial_hosts[:MAX_SEEDS])
        self.coordinator_slots = [SimulatedCoordinator(self, host) for host in initial_hosts]
        self.gateways = [SimulatedGateway(self, f"10.0.1.{number}") for number in range(1, schedule.gateways + 1)]
        self.coordinators = {machine.host: machine for machine in self.coordinator_slots}  # removed ones, too
        self.machines: dict[str, SimulatedMachine] = {
            machine.host: machine for machine in [*self.coordinator_slots, *self.gateways]
        }
        self.operators: list[SimulatedOperator] = []
        self._external_loops: list[ProcessLoop] = []
        self._known_member_hosts = set(initial_hosts)
        self._coordinator_lists: list[tuple[float, list[str]]] = []  # (since when, hosts)
        self.record_coordinator_list()

    # --- What processes and operators know.

    def coordinator_node(self, host: str, is_first_start: bool) -> NodeSettings:
        """Return the settings of a coordinator."""
        return replace(
            self._node(host, is_first_start),
            cluster_name=CLUSTER_NAME,
            listen_addresses={"controlPlane": (host, OPERATOR_PORT)},
        )

    def gateway_node(self, host: str, is_first_start: bool) -> NodeSettings:
        """Return the settings of a gateway."""
        return replace(
            self._node(host, is_first_start),
            cluster_name=CLUSTER_NAME,
            role="gateway",
            machine_class="edge",
            data_directory=None,
            serves=frozenset(),
        )

    def _node(self, host: str, is_first_start: bool) -> NodeSettings:
        # The settings of a later start were written from a list that lags.
        hosts = self.seed_hosts if is_first_start else self.listed_coordinators()[: len(self.seed_hosts)]
        seed_addresses = tuple(f"{seed_host}:{INTERNAL_PORT}" for seed_host in hosts)
        node = coordinator_settings(
            f"{host}:{INTERNAL_PORT}", is_first_start, seed_addresses, self.schedule.tolerated_losses
        )
        return replace(node, bounds=replace(node.bounds, catch_up_ms=self.schedule.catch_up_s * 1000))

    def record_coordinator_list(self) -> None:
        """Note that the machines of the slots have changed."""
        hosts = [machine.host for machine in self.coordinator_slots]
        self._coordinator_lists.append((self.network.now_s, hosts))

    def listed_coordinators(self) -> list[str]:
        """Return the coordinators as the operators' list has them, which lags."""
        written_at_s = self.network.now_s - COORDINATOR_LIST_LAG_S
        for since_s, hosts in reversed(self._coordinator_lists):
            if since_s <= written_at_s:
                return hosts
        return self._coordinator_lists[0][1]

    def record_members(self, program: CoordinatorProgram) -> None:
        """Record who has become a member with the newest state of a coordinator."""
        for address in program._control.committed_state.members:
            host = address.partition(":")[0]
            if host in self._known_member_hosts:
                continue
            self._known_member_hosts.add(host)
            newcomer = self.coordinators[host].program
            has_state = newcomer is not None and not newcomer._control._acceptor.state.is_recovering
            self.history.member_additions.append(MemberAddition(host, self.network.now_s, has_state))

    def add_coordinator(self, host: str) -> SimulatedCoordinator:
        """Add a coordinator machine without starting it."""
        machine = SimulatedCoordinator(self, host)
        self.coordinators[host] = self.machines[host] = machine
        return machine

    def add_external_process(self, host: str) -> ProcessLoop:
        """Add a process that no fault strikes."""
        loop = ProcessLoop(lambda: self.network.now_s, self.network, host)
        self._external_loops.append(loop)
        return loop

    # --- The run.

    def run(self, plan: Plan | None = None) -> list[Violation]:
        """Run from the bootstrap to the final reads, and return what did not hold.

        A plan takes the place of the schedule's operations and faults.
        """
        with virtual_node_clock(self.network):
            try:
                self._bootstrap()
                over_at_s = (plan or Simulation._start_schedule)(self)
                self.run_until(over_at_s + QUIET_PERIOD_S)
                self.history.converged_by_s = over_at_s + QUIET_PERIOD_S
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
        versions = VersionSequence(random.Random(f"{self.schedule.seed} versions"))
        for name, zone in EVACUATED_ZONE_BY_OPERATOR.items():
            loop = self.add_external_process(f"operator-{name}")
            self.operators.append(
                SimulatedOperator(
                    name, loop, self.listed_coordinators, OPERATOR_PORT, self.history, self.schedule, versions, zone
                )
            )

    def _start_schedule(self) -> float:
        """Start the schedule's workload and faults; return when the last of both is over."""
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
        """Run the final read of each operator."""
        for operator in self.operators:
            operator.loop.spawn(operator.read_back())
        deadline_s = self.network.now_s + self.history.acknowledgement_bound_s + FINAL_READ_MARGIN_S
        while self._is_reading_back() and self.network.now_s < deadline_s:
            self.run_until(self.network.now_s + FINAL_READ_POLL_S)

    def _is_reading_back(self) -> bool:
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

    def run_until(self, moment_s: float) -> None:
        """Run all processes and kernels up to a virtual second.

        At one moment kernels come before processes, and processes in the order in which they were added.

        Raises:
            EndlessRunError: The run does not get there.
        """
        network = self.network
        for _ in range(MAX_STEPS):
            loops = [machine.loop for machine in self.machines.values() if machine.loop is not None]
            next_at_s, next_loop = network.next_event_at_s(), None
            for loop in [*loops, *self._external_loops]:
                step_at_s = loop.next_step_at_s()
                if step_at_s < next_at_s:
                    next_at_s, next_loop = step_at_s, loop
            if next_at_s > moment_s:
                network.now_s = moment_s
                return
            network.now_s = max(network.now_s, next_at_s)
            if next_loop is None:
                network.run_next_event()
            else:
                next_loop.step()
        raise EndlessRunError(self.schedule, network.now_s)


@contextmanager
def virtual_node_clock(network: Network) -> Iterator[None]:
    """Let `hallhitch.node.clock.now` return virtual time, also for parts that are given no clock."""
    names = vars(node_clock)
    real_time = names["time"]
    names["time"] = SimpleNamespace(monotonic=lambda: network.now_s)
    try:
        yield
    finally:
        names["time"] = real_time


def run_schedule(schedule: Schedule) -> list[Violation]:
    """Run a schedule and return what did not hold."""
    return Simulation(schedule).run()
