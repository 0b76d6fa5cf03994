"""How long an operator waits for an acknowledgement, by workload and fault.

Real coordinators run in virtual time over simulated links and disks (`lab.simulation.coordinator_cluster`): waiting is
counted, processor time is not. An order is retried at the next coordinator after a 503 or a time-out of a second, with
exponential backoff, as an operator does. Prints one table row for each case; the same seed gives the same table.

    python -m benchmarks.order_latency [--seeds 5] [--routes 20 2000] [--bytes-per-ms 250]
"""

from __future__ import annotations

import argparse
import asyncio
import json
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import product
from typing import Annotated, Final

from benchmarks.measuring import BenchmarkError, print_table
from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario

ORDER_TIMEOUT_S: Final = 1.0  # after which an operator retries at the next coordinator
TIMEOUT_PER_ROUTE_S: Final = 0.001  # added for each route of a configuration, as large ones take longer to send
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0
LATE_AFTER_MS: Final = 1000.0  # the bound on an acknowledgement
BURST_SIZE: Final = 8  # orders that may be in flight at once
BURSTS: Final = 10
STEADY_ORDERS: Final = 40
SEQUENTIAL_ORDERS: Final = 300
REST_S: Final = 0.7  # between orders or bursts
FORMATION_S: Final = 4.0  # until the cluster is formed
FAULT_LEAD_S: Final = 0.5  # between a fault and the first order
SLOW_DISK_WRITE_MS: Final = 60.0  # 30 times the usual 2 ms
BACKGROUND_ORDERS: Final = 3  # of the member that receives nothing
BACKGROUND_ROUTES: Final = 5
CLUSTERS: Final = ((3, 1), (5, 2))  # members, tolerated losses
LINK_DELAYS_MS: Final = (35.0, 55.0)  # one way


@dataclass
class OrderStatistics:
    """Latencies of acknowledged orders, and the attempts that they took."""

    waits_ms: list[float] = field(default_factory=list)
    attempts: int = 0

    def add(self, statistics: OrderStatistics) -> None:
        """Add those of another run."""
        self.waits_ms += statistics.waits_ms
        self.attempts += statistics.attempts


@dataclass(frozen=True, slots=True)
class OrderLatency:
    """A row of the table."""

    case: Annotated[str, "case"]
    members: Annotated[int, "members"]
    link_delay_ms: Annotated[int, "one way ms"]
    routes: Annotated[int, "routes"]
    p50_ms: Annotated[int, "p50 ms"]
    p99_ms: Annotated[int, "p99 ms"]
    worst_ms: Annotated[int, "worst ms"]
    orders: Annotated[int, "orders"]
    retries: Annotated[int, "retries"]
    late_orders: Annotated[int, "over 1 s"]


def build_config(version: int, routes: int) -> bytes:
    """Return a valid configuration."""
    route = {"routeKind": "idempotent", "timeout": "3s", "maxAttempts": 1, "targetService": "s", "host": "a.example"}
    table = {f"r-{number}": {**route, "pathPrefix": f"/{version}/{number}/"} for number in range(routes)}
    return json.dumps({"configVersion": version, "services": {"s": {}}, "limits": {}, "routes": table}).encode()


class Operator:
    """Sends orders to some coordinators until they are acknowledged, and records how long that took."""

    def __init__(
        self,
        cluster: CoordinatorCluster,
        machines: list[CoordinatorMachine],
        routes: int,
        statistics: OrderStatistics,
    ) -> None:
        self._cluster = cluster
        self._machines = machines
        self._routes = routes
        self._statistics = statistics
        self._config_version = 0

    async def replace_config(self) -> None:
        """Order a newer configuration."""
        self._config_version += 1
        timeout_s = ORDER_TIMEOUT_S + TIMEOUT_PER_ROUTE_S * self._routes
        await self._send("config.replace", build_config(self._config_version, self._routes), timeout_s)

    async def start_evacuation(self) -> None:
        """Order the evacuation of a zone."""
        await self._send("evacuations.start&of=viti-a", b"", ORDER_TIMEOUT_S)

    async def stop_evacuation(self) -> None:
        """Order the end of the evacuation."""
        await self._send("evacuations.stop&of=viti-a", b"", ORDER_TIMEOUT_S)

    async def _send(self, call: str, body: bytes, timeout_s: float) -> None:
        started_ms = self._cluster.clock()
        backoff_s = INITIAL_BACKOFF_S
        machine_index = self._cluster.rng.randrange(len(self._machines))
        while not await self._attempt(self._machines[machine_index % len(self._machines)], call, body, timeout_s):
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            machine_index += 1
        self._statistics.waits_ms.append(self._cluster.clock() - started_ms)

    async def _attempt(self, machine: CoordinatorMachine, call: str, body: bytes, timeout_s: float) -> bool:
        """Return whether one coordinator acknowledged the order."""
        self._statistics.attempts += 1
        if machine.operator is None:
            raise BenchmarkError(f"coordinator {machine.address} does not run")
        try:
            async with asyncio.timeout(timeout_s):
                status, _, _ = await machine.operator.handle("POST", f"/hallhitch/rpc?call={call}", body)
        except TimeoutError:
            return False
        if status == 409:  # a newer order of this operator overtook it; nothing else takes its numbers
            raise BenchmarkError(f"coordinator {machine.address} rejected {call} as outdated")
        return status == 200


async def send_steadily(operator: Operator) -> None:
    """Send one order now and then."""
    for _ in range(STEADY_ORDERS):
        await operator.replace_config()
        await asyncio.sleep(REST_S)


async def send_bursts(operator: Operator) -> None:
    """Send eight orders in the same moment, with a rest after."""
    for burst in range(BURSTS):
        orders = [operator.replace_config() for _ in range(BURST_SIZE - 1)]
        evacuation = operator.stop_evacuation() if burst % 2 else operator.start_evacuation()
        await asyncio.gather(*orders, evacuation)
        await asyncio.sleep(REST_S)


async def send_sequentially(operator: Operator) -> None:
    """Send each order right after the acknowledgement of the one before."""
    for _ in range(SEQUENTIAL_ORDERS):
        await operator.replace_config()


async def slow_disk(cluster: CoordinatorCluster, machines: list[CoordinatorMachine]) -> list[CoordinatorMachine]:
    """Slow the disk of one member down 30 times."""
    machines[0].write_duration_ms = SLOW_DISK_WRITE_MS
    return machines


async def partition_member(cluster: CoordinatorCluster, machines: list[CoordinatorMachine]) -> list[CoordinatorMachine]:
    """Partition one member; orders go to the others."""
    cluster.isolate(machines[0].address)
    await asyncio.sleep(FAULT_LEAD_S)
    return machines[1:]


async def block_inbound(cluster: CoordinatorCluster, machines: list[CoordinatorMachine]) -> list[CoordinatorMachine]:
    """Let one member send but receive nothing, with orders of its own whose ballots contend with the others'."""
    cluster.inbound_blocked.add(machines[0].address)
    await asyncio.sleep(FAULT_LEAD_S)
    operator = Operator(cluster, machines[:1], BACKGROUND_ROUTES, OrderStatistics())
    cluster.background_tasks = [asyncio.ensure_future(operator.replace_config()) for _ in range(BACKGROUND_ORDERS)]
    return machines[1:]


async def no_fault(cluster: CoordinatorCluster, machines: list[CoordinatorMachine]) -> list[CoordinatorMachine]:
    """Inject nothing."""
    return machines


@dataclass(frozen=True, slots=True)
class Case:
    """A workload, and a fault that returns the machines to which its orders go."""

    workload: Callable[[Operator], Awaitable[None]]
    inject_fault: Callable[[CoordinatorCluster, list[CoordinatorMachine]], Awaitable[list[CoordinatorMachine]]]


CASES: Final = {
    "steady": Case(send_steadily, no_fault),
    "8 concurrent": Case(send_bursts, no_fault),
    "300 sequential": Case(send_sequentially, no_fault),
    "steady, slow disk": Case(send_steadily, slow_disk),
    "8 concurrent, slow disk": Case(send_bursts, slow_disk),
    "steady, member partitioned": Case(send_steadily, partition_member),
    "8 concurrent, member partitioned": Case(send_bursts, partition_member),
    "8 concurrent, member's inbound blocked": Case(send_bursts, block_inbound),
}


@dataclass(frozen=True, slots=True)
class Conditions:
    """Size and network of a run."""

    members: int
    tolerated_losses: int
    link_delay_ms: float
    routes: int
    bytes_per_ms: float


def measure(case: Case, conditions: Conditions, seed: int) -> OrderStatistics:
    """Run one case with one seed."""
    statistics = OrderStatistics()

    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await cluster.bootstrap()
        await asyncio.sleep(FORMATION_S)
        cluster.bytes_per_ms = conditions.bytes_per_ms
        reachable = await case.inject_fault(cluster, machines)
        await case.workload(Operator(cluster, reachable, conditions.routes, statistics))

    run_scenario(
        scenario,
        seed,
        initial_members=conditions.members,
        tolerated_losses=conditions.tolerated_losses,
        link_delay_ms=conditions.link_delay_ms,
    )
    return statistics


def summarize(name: str, conditions: Conditions, statistics: OrderStatistics) -> OrderLatency:
    """Return the table row of a case."""
    waits_ms = sorted(statistics.waits_ms)
    order_count = len(waits_ms)
    return OrderLatency(
        name,
        conditions.members,
        round(conditions.link_delay_ms),
        conditions.routes,
        p50_ms=round(waits_ms[order_count // 2]),
        p99_ms=round(waits_ms[min(order_count - 1, round(0.99 * order_count))]),
        worst_ms=round(waits_ms[-1]),
        orders=order_count,
        retries=statistics.attempts - order_count,
        late_orders=sum(wait_ms > LATE_AFTER_MS for wait_ms in waits_ms),
    )


def measure_all(
    names: Iterable[str], route_counts: Sequence[int], bytes_per_ms: float, seeds: int
) -> Iterator[OrderLatency]:
    """Yield the row of each case, kind of cluster, delay and number of routes."""
    for name, (members, losses), delay_ms, routes in product(names, CLUSTERS, LINK_DELAYS_MS, route_counts):
        conditions = Conditions(members, losses, delay_ms, routes, bytes_per_ms)
        total = OrderStatistics()
        for seed in range(seeds):
            total.add(measure(CASES[name], conditions, seed))
        yield summarize(name, conditions, total)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--routes", type=int, nargs="+", default=[20])
    parser.add_argument("--bytes-per-ms", type=float, default=float("inf"))
    parser.add_argument("--cases", default="", help="only cases whose name contains this")
    arguments = parser.parse_args()
    names = [name for name in CASES if arguments.cases in name]
    rows = measure_all(names, arguments.routes, arguments.bytes_per_ms, arguments.seeds)
    print_table("Acknowledgement of orders", OrderLatency, rows)


if __name__ == "__main__":
    main()
