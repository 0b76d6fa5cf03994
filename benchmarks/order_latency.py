"""How long an operator waits for an acknowledgement: calm, eight orders at once, many in a row, a slow disk, a cut.

The real coordinators run in virtual time over simulated links and disks (`lab.simulation.coordinator_cluster`):
waiting is counted, processor time is not. An order is sent again to the next coordinator after a 503 or a second of
silence, with a pause that grows, as an operator does. Prints one table row for each case;
the same seed gives the same table.

    python -m benchmarks.order_latency [--seeds 5] [--routes 20 2000] [--bytes-per-ms 250]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario

SILENCE_S = 1.0  # after which a caller moves on
A_ROUTE_S = 0.001  # more silence that is borne for each route
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.1, 1.0  # between two tries of one order
BURST = 8  # orders that may be under way at once
SLOW_DISK_MS = 60.0  # one write on a disk 30 times slower than the usual 2 ms


@dataclass
class Sample:
    """What the orders of one case met."""

    waits_ms: list[float] = field(default_factory=list)
    tries: int = 0

    def row(self) -> str:
        """p50, p99, worst, and how many orders were not acknowledged at the first try or within a second."""
        waits = sorted(self.waits_ms)
        p99 = waits[min(len(waits) - 1, round(0.99 * len(waits)))]
        late = sum(one > 1000 * SILENCE_S for one in waits)
        return (
            f"{waits[len(waits) // 2]:.0f} | {p99:.0f} | {waits[-1]:.0f} | {len(waits)} | "
            f"{self.tries - len(waits)} | {late}"
        )


def configuration(version: int, routes: int) -> bytes:
    """A valid configuration."""
    route = {"routeKind": "idempotent", "timeout": "3s", "maxAttempts": 1, "targetService": "s", "host": "a.example"}
    table = {f"r-{number}": {**route, "pathPrefix": f"/{version}/{number}/"} for number in range(routes)}
    return json.dumps({"configVersion": version, "services": {"s": {}}, "limits": {}, "routes": table}).encode()


class Operator:
    """Sends orders to some coordinators until they are acknowledged, and keeps the time that took."""

    def __init__(
        self, fleet: CoordinatorCluster, machines: list[CoordinatorMachine], routes: int, sample: Sample
    ) -> None:
        self._fleet, self._machines, self._routes, self._sample = fleet, machines, routes, sample
        self._version = 0

    async def configure(self) -> None:
        """A newer configuration."""
        self._version += 1
        await self._send("config.replace", configuration(self._version, self._routes))

    async def evacuate(self, call: str) -> None:
        """An evacuation's start or stop."""
        await self._send(f"evacuations.{call}&of=viti-a", b"")

    async def _send(self, call: str, body: bytes) -> None:
        began, pause = self._fleet.clock(), FIRST_PAUSE_S
        silence = SILENCE_S + (A_ROUTE_S * self._routes if body else 0.0)
        at = self._fleet.rng.randrange(len(self._machines))
        while True:
            self._sample.tries += 1
            operator = self._machines[at % len(self._machines)].operator
            assert operator is not None
            try:
                async with asyncio.timeout(silence):
                    status, _, _ = await operator.handle("POST", f"/hallhitch/rpc?call={call}", body)
            except TimeoutError:
                status = 0
            if status == 200:
                self._sample.waits_ms.append(self._fleet.clock() - began)
                return
            if status == 409:  # a newer order of this operator overtook it; nothing else takes its numbers
                raise RuntimeError("refused")
            await asyncio.sleep(pause)
            pause, at = min(2 * pause, LONGEST_PAUSE_S), at + 1


async def calm(operator: Operator) -> None:
    """One order now and then."""
    for _ in range(40):
        await operator.configure()
        await asyncio.sleep(0.7)


async def at_once(operator: Operator) -> None:
    """Eight orders in the same moment, with a rest after."""
    for turn in range(10):
        orders = [operator.configure() for _ in range(BURST - 1)]
        await asyncio.gather(*orders, operator.evacuate("stop" if turn % 2 else "start"))
        await asyncio.sleep(0.7)


async def in_a_row(operator: Operator) -> None:
    """Each order right after the one before."""
    for _ in range(300):
        await operator.configure()


async def slow_disk(fleet: CoordinatorCluster, machines: list[CoordinatorMachine]) -> list[CoordinatorMachine]:
    """One disk 30 times slower."""
    machines[0].write_duration_ms = SLOW_DISK_MS
    return machines


async def cut_member(fleet: CoordinatorCluster, machines: list[CoordinatorMachine]) -> list[CoordinatorMachine]:
    """One member cut off; orders come to the others."""
    fleet.isolate(machines[0].address)
    await asyncio.sleep(0.5)
    return machines[1:]


async def deaf_member(fleet: CoordinatorCluster, machines: list[CoordinatorMachine]) -> list[CoordinatorMachine]:
    """One member that still sends and hears nothing: it has orders of its own, whose ballots are in the way."""
    fleet.inbound_blocked.add(machines[0].address)
    await asyncio.sleep(0.5)
    hopeless = Operator(fleet, machines[:1], 5, Sample())
    fleet.background_tasks = [asyncio.ensure_future(hopeless.configure()) for _ in range(3)]
    return machines[1:]


async def sound(fleet: CoordinatorCluster, machines: list[CoordinatorMachine]) -> list[CoordinatorMachine]:
    """Nothing is wrong."""
    return machines


Trouble = Callable[[CoordinatorCluster, list[CoordinatorMachine]], Awaitable[list[CoordinatorMachine]]]
Orders = Callable[[Operator], Awaitable[None]]
CASES: dict[str, tuple[Orders, Trouble]] = {
    "calm": (calm, sound),
    "eight at once": (at_once, sound),
    "300 in a row": (in_a_row, sound),
    "calm, slow disk": (calm, slow_disk),
    "eight at once, slow disk": (at_once, slow_disk),
    "calm, member cut": (calm, cut_member),
    "eight at once, member cut": (at_once, cut_member),
    "eight at once, member deaf": (at_once, deaf_member),
}


def measure(
    orders: Orders,
    trouble: Trouble,
    routes: int,
    bytes_per_ms: float,
    seed: int,
    *,
    founders: int,
    losses: int,
    delay: float,
) -> Sample:
    """One case with one seed."""
    sample = Sample()

    async def scene(world: CoordinatorCluster) -> None:
        machines = await world.bootstrap()
        await asyncio.sleep(4)
        world.bytes_per_ms = bytes_per_ms
        await orders(Operator(world, await trouble(world, machines), routes, sample))

    run_scenario(scene, seed, initial_members=founders, tolerated_losses=losses, link_delay_ms=delay)
    return sample


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--routes", type=int, nargs="+", default=[20])
    parser.add_argument("--bytes-per-ms", type=float, default=float("inf"))
    parser.add_argument("--cases", default="", help="only cases whose name holds this")
    asked = parser.parse_args()
    print("| case | members | one way ms | routes | p50 ms | p99 ms | worst ms | orders | tried again | over 1 s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name, (orders, trouble) in CASES.items():
        if asked.cases not in name:
            continue
        for founders, losses in ((3, 1), (5, 2)):
            for delay in (35.0, 55.0):
                for routes in asked.routes:
                    whole = Sample()
                    for seed in range(asked.seeds):
                        one = measure(
                            orders,
                            trouble,
                            routes,
                            asked.bytes_per_ms,
                            seed,
                            founders=founders,
                            losses=losses,
                            delay=delay,
                        )
                        whole.waits_ms += one.waits_ms
                        whole.tries += one.tries
                    print(f"| {name} | {founders} | {delay:.0f} | {routes} | {whole.row()} |")
                    sys.stdout.flush()


if __name__ == "__main__":
    main()
