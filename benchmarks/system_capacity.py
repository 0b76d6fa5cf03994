"""What the control plane costs as gateways are added: three real coordinators, simulated gateways, all on loopback.

    python -O -m benchmarks.system_capacity [--sizes 9,36,86,144,300] [--only slopes|fleet]

Prints tables and ends by itself after a few minutes. It starts and ends its own coordinators and processes of simulated
gateways (`simulated_gateways`), and nothing else. Sizes are trials one after the other; a size that is not done in time
ends the run.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Final

import uvloop

from benchmarks.capacity_processes import (
    BACKEND_COUNT,
    EndpointListServer,
    GatewayProcess,
    order,
    processor_s,
    start_coordinator,
)
from benchmarks.capacity_site import (
    COORDINATOR_COUNT,
    ENDPOINT_LIST_PORT,
    coordinator_host,
    endpoint_list_host,
    write_settings,
)
from benchmarks.capacity_slopes import print_slopes
from benchmarks.measuring import print_table
from benchmarks.resident import resident
from benchmarks.sample_data import sample_config
from benchmarks.simulated_gateways import EVACUATED_ZONE, GroupReport
from hallhitch.node import logs
from hallhitch.node.http_server import HttpServer
from hallhitch.planes.quota.limits import BUCKET_COUNT

TENANT_COUNT: Final = 64
ROUTE_COUNT: Final = 50
GATEWAYS_PER_PROCESS: Final = 50
CONVERGENCE_TIMEOUT_S: Final = 12.0
REBALANCING_S: Final = 7.0  # after which buckets move no more
WINDOW_S: Final = 4.0  # over which rates are taken
PROPAGATION_TIMEOUT_S: Final = 2.5
POLL_INTERVAL_S: Final = 0.03
ORDER_RETRY_S: Final = 0.2
TRIAL_TIMEOUT_S: Final = 110.0  # three times what a trial takes on a quiet machine


@dataclass(frozen=True, slots=True)
class UsageRates:
    """What a gateway, and a coordinator, uses in a second."""

    sent_bytes: float
    received_bytes: float
    frames: float
    gateway_ms: float  # of processor time
    coordinator_ms: float


@dataclass(frozen=True, slots=True)
class UsageSample:
    """What all simulated gateways and all coordinators have used up to a moment."""

    taken_at_s: float
    gateways_processor_s: float
    coordinators_processor_s: float
    sent_bytes: int
    received_bytes: int
    frames: int

    def rates_since(self, earlier: UsageSample, gateway_count: int) -> UsageRates:
        """Return the mean rates between two samples."""
        span_s = self.taken_at_s - earlier.taken_at_s
        gateways_s = self.gateways_processor_s - earlier.gateways_processor_s
        coordinators_s = self.coordinators_processor_s - earlier.coordinators_processor_s
        return UsageRates(
            sent_bytes=(self.sent_bytes - earlier.sent_bytes) / span_s / gateway_count,
            received_bytes=(self.received_bytes - earlier.received_bytes) / span_s / gateway_count,
            frames=(self.frames - earlier.frames) / span_s / gateway_count,
            gateway_ms=gateways_s / span_s / gateway_count * 1000,
            coordinator_ms=coordinators_s / span_s / COORDINATOR_COUNT * 1000,
        )


@dataclass(frozen=True, slots=True)
class SteadyStateCost:
    """A row of the first table: cost without changes."""

    gateways: Annotated[int, "gateways"]
    converged_s: Annotated[float | str, "converged after s"]
    sent_bytes_per_s: Annotated[float, "sent B/s a gateway"]
    received_bytes_per_s: Annotated[float, "received B/s"]
    frames_per_s: Annotated[float, "frames/s"]
    gateway_ms_per_s: Annotated[float, "processor ms/s a gateway"]
    coordinator_ms_per_s: Annotated[float, "processor ms/s a coordinator"]
    coordinator_memory_mb: Annotated[float, "memory of a coordinator MB"]
    coordinator_growth_kib: Annotated[float, "KB more a gateway there"]
    gateway_memory_kib: Annotated[float, "KB of a simulated gateway"]


@dataclass(frozen=True, slots=True)
class LoadCost:
    """A row of the second table: cost of counting, and propagation of one change."""

    gateways: Annotated[int, "gateways"]
    counts_per_s: Annotated[float, "counts/s a gateway"]
    median_ms: Annotated[float, "median ms"]
    p99_ms: Annotated[float, "p99 ms"]
    sent_bytes_per_count: Annotated[float, "bytes sent a count"]
    received_bytes_per_count: Annotated[float, "received"]
    frames_per_count: Annotated[float, "frames a count"]
    gateway_ms_per_count: Annotated[float, "processor ms a count, both sides"]
    coordinator_ms_per_s: Annotated[float, "processor ms/s a coordinator"]
    evacuation_ms: Annotated[float | str, "evacuation at the last gateway ms"]
    propagation_bytes: Annotated[float, "bytes received a gateway meanwhile"]
    drain_ms: Annotated[float, "drain at the last gateway ms"]


@dataclass(frozen=True, slots=True)
class _CountingWindow:
    """Rates without and with counting, and the latencies of the counts."""

    idle: UsageRates
    busy: UsageRates
    latencies_ms: list[float]
    counts_per_s: float  # a gateway
    end: UsageSample


@dataclass(frozen=True, slots=True)
class _Propagation:
    """How long two changes took to the last gateway."""

    evacuation_ms: float | str
    received_bytes: float  # a gateway, while the evacuation spread
    drain_ms: float


class CapacityTrial:
    """One size: its processes, and what is measured on them."""

    def __init__(self, folder: Path, number: int, gateway_count: int) -> None:
        self._number = number
        self._gateway_count = gateway_count
        self._endpoint_list = EndpointListServer()
        trial_folder = folder / f"step-{number}"
        self._settings = [write_settings(trial_folder, number, core) for core in range(COORDINATOR_COUNT)]
        self._coordinators = list[asyncio.subprocess.Process]()
        self._gateways = list[GatewayProcess]()

    @property
    def _coordinator_pids(self) -> list[int]:
        return [process.pid for process in self._coordinators]

    async def run(self) -> tuple[SteadyStateCost, LoadCost]:
        """Return the rows of both tables; end all processes."""
        server = HttpServer("list", self._endpoint_list.handle)
        await server.serve((endpoint_list_host(self._number), ENDPOINT_LIST_PORT))
        try:
            return await self._measure()
        finally:
            for process in [*self._coordinators, *(group.process for group in self._gateways)]:
                if process.returncode is None:
                    process.kill()
                await process.wait()
            await server.close()

    async def _measure(self) -> tuple[SteadyStateCost, LoadCost]:
        await self._start_coordinators()
        initial_memory_kib = [resident(pid) for pid in self._coordinator_pids]
        await self._start_gateways()
        converged_s = await self._wait_until(self._has_converged, CONVERGENCE_TIMEOUT_S)
        await asyncio.sleep(REBALANCING_S)
        window = await self._measure_counting()
        memory_kib = [resident(pid) for pid in self._coordinator_pids]
        gateway_growth_kib = sum(report.memory_growth_kib for report in await self._reports())
        propagation = await self._measure_propagation(window.end)
        growth_kib = max(last - first for last, first in zip(memory_kib, initial_memory_kib, strict=True))
        is_converged = converged_s < CONVERGENCE_TIMEOUT_S
        steady_state = SteadyStateCost(
            self._gateway_count,
            converged_s=converged_s if is_converged else f"not in {CONVERGENCE_TIMEOUT_S:.0f}",
            sent_bytes_per_s=window.idle.sent_bytes,
            received_bytes_per_s=window.idle.received_bytes,
            frames_per_s=window.idle.frames,
            gateway_ms_per_s=window.idle.gateway_ms,
            coordinator_ms_per_s=window.idle.coordinator_ms,
            coordinator_memory_mb=max(memory_kib) / 1024,
            coordinator_growth_kib=growth_kib / self._gateway_count,
            gateway_memory_kib=gateway_growth_kib / self._gateway_count,
        )
        return steady_state, self._load_cost(window, propagation)

    async def _start_coordinators(self) -> None:
        deadline_s = time.monotonic() + CONVERGENCE_TIMEOUT_S
        for settings in self._settings:
            self._coordinators.append(await start_coordinator(settings))
        config = sample_config(1, ROUTE_COUNT, TENANT_COUNT)
        while True:
            is_acknowledged = await self._order("config.replace", config)
            if is_acknowledged or time.monotonic() >= deadline_s:
                return
            await asyncio.sleep(ORDER_RETRY_S)

    async def _order(self, call: str, body: bytes = b"") -> bool:
        return await order(coordinator_host(self._number, 0), call, body)

    async def _start_gateways(self) -> None:
        for first in range(0, self._gateway_count, GATEWAYS_PER_PROCESS):
            count = min(GATEWAYS_PER_PROCESS, self._gateway_count - first)
            self._gateways.append(await GatewayProcess.start(first, count, self._settings[0]))
        await self._reports()  # replied to once all gateways run

    async def _reports(self) -> list[GroupReport]:
        return list(await asyncio.gather(*(group.report() for group in self._gateways)))

    async def _sample(self) -> UsageSample:
        reports = await self._reports()
        return UsageSample(
            time.monotonic(),
            gateways_processor_s=sum(report.processor_s for report in reports),
            coordinators_processor_s=processor_s(self._coordinator_pids),
            sent_bytes=sum(report.sent_bytes for report in reports),
            received_bytes=sum(report.received_bytes for report in reports),
            frames=sum(report.frames for report in reports),
        )

    async def _wait_until(self, condition: Callable[[list[GroupReport]], bool], timeout_s: float) -> float:
        """Return the seconds until the condition holds, `timeout_s` or little more if it does not."""
        started_s = time.monotonic()
        while True:
            is_met = condition(await self._reports())
            elapsed_s = time.monotonic() - started_s
            if is_met or elapsed_s >= timeout_s:
                return elapsed_s
            await asyncio.sleep(POLL_INTERVAL_S)

    def _has_converged(self, reports: list[GroupReport]) -> bool:
        knows_all = all(report.min_known_gateways >= self._gateway_count for report in reports)
        has_config = all(report.min_config_version == 1 for report in reports)
        return knows_all and has_config and sum(report.held_buckets for report in reports) == BUCKET_COUNT

    async def _measure_counting(self) -> _CountingWindow:
        count = self._gateway_count
        before = await self._sample()
        await asyncio.sleep(WINDOW_S)
        middle = await self._sample()
        groups = await asyncio.gather(*(group.count(WINDOW_S) for group in self._gateways))
        latencies_ms = sorted(latency for group in groups for latency in group)
        end = await self._sample()
        return _CountingWindow(
            idle=middle.rates_since(before, count),
            busy=end.rates_since(middle, count),
            latencies_ms=latencies_ms,
            counts_per_s=max(len(latencies_ms), 1) / count / (end.taken_at_s - middle.taken_at_s),
            end=end,
        )

    async def _measure_propagation(self, before: UsageSample) -> _Propagation:
        is_acknowledged = await self._order(f"evacuations.start&of={EVACUATED_ZONE}")
        evacuation_s = await self._wait_until(
            lambda reports: all(report.is_evacuated for report in reports), PROPAGATION_TIMEOUT_S
        )
        after = await self._sample()
        self._endpoint_list.draining_instances.add(self._endpoint_list.backends[0].instance)
        drain_s = await self._wait_until(
            lambda reports: all(report.is_drained for report in reports), PROPAGATION_TIMEOUT_S
        )
        return _Propagation(
            evacuation_ms=evacuation_s * 1000 if is_acknowledged else "no answer",
            received_bytes=(after.received_bytes - before.received_bytes) / self._gateway_count,
            drain_ms=drain_s * 1000,
        )

    def _load_cost(self, window: _CountingWindow, propagation: _Propagation) -> LoadCost:
        idle, busy, latencies_ms = window.idle, window.busy, window.latencies_ms
        return LoadCost(
            self._gateway_count,
            counts_per_s=window.counts_per_s,
            median_ms=latencies_ms[len(latencies_ms) // 2] if latencies_ms else 0.0,
            p99_ms=latencies_ms[int(len(latencies_ms) * 0.99)] if latencies_ms else 0.0,
            sent_bytes_per_count=(busy.sent_bytes - idle.sent_bytes) / window.counts_per_s,
            received_bytes_per_count=(busy.received_bytes - idle.received_bytes) / window.counts_per_s,
            frames_per_count=(busy.frames - idle.frames) / window.counts_per_s,
            gateway_ms_per_count=(busy.gateway_ms - idle.gateway_ms) / window.counts_per_s,
            coordinator_ms_per_s=busy.coordinator_ms,
            evacuation_ms=propagation.evacuation_ms,
            propagation_bytes=propagation.received_bytes,
            drain_ms=propagation.drain_ms,
        )


async def print_trials(folder: Path, sizes: Sequence[int]) -> None:
    """Run all sizes one after the other and print both tables."""
    steady_state_costs = list[SteadyStateCost]()
    load_costs = list[LoadCost]()
    for number, gateway_count in enumerate(sizes, 1):
        try:
            async with asyncio.timeout(TRIAL_TIMEOUT_S):
                steady_state, load = await CapacityTrial(folder, number, gateway_count).run()
        except TimeoutError:
            print(f"{gateway_count} gateways: not done in {TRIAL_TIMEOUT_S:.0f} s", file=sys.stderr)
            break
        print(f"{gateway_count} gateways: {steady_state} {load}", file=sys.stderr, flush=True)
        steady_state_costs.append(steady_state)
        load_costs.append(load)
    print_table(
        f"Without changes: {BACKEND_COUNT} backends, {ROUTE_COUNT} routes, {TENANT_COUNT} tenants, three coordinators",
        SteadyStateCost,
        steady_state_costs,
    )
    print_table("Counting, and propagation of one change", LoadCost, load_costs)


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="9,36,86,144,300")
    parser.add_argument("--only", choices=("slopes", "fleet"))
    arguments = parser.parse_args()
    logs.configure(logging.WARNING)
    with tempfile.TemporaryDirectory() as folder:
        if arguments.only != "fleet":
            settings = [write_settings(Path(folder), 0, core) for core in range(COORDINATOR_COUNT)]
            print_slopes(settings[0])
        if arguments.only != "slopes":
            sizes = [int(size) for size in arguments.sizes.split(",")]
            uvloop.run(print_trials(Path(folder), sizes))


if __name__ == "__main__":
    main()
