"""What a coordinator keeps after many changes: files and bytes on its disk, its state, bytes sent for a change.

Three real coordinators on real files, in virtual time. Prints table rows after the first two changes and the last.

    python -m benchmarks.control_state [--changes 1000] [--routes 20 2000]
"""

from __future__ import annotations

import argparse
import gc
import tempfile
import tracemalloc
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from benchmarks.measuring import BenchmarkError, print_table
from benchmarks.order_latency import Operator, OrderStatistics
from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from hallhitch.planes.control.storage import DirectoryStorage


class MeteredCluster(CoordinatorCluster):
    """A cluster that counts the bytes that its links carry."""

    sent_bytes = 0

    async def traverse_link(self, source: str, target: str, size_bytes: int = 0) -> None:
        """Count the bytes, then wait as the cluster does."""
        self.sent_bytes += size_bytes
        await super().traverse_link(source, target, size_bytes)


@dataclass(frozen=True, slots=True)
class StoredState:
    """A row of the table: what one coordinator keeps after so many changes."""

    routes: Annotated[int, "routes"]
    changes: Annotated[int, "changes"]
    files: Annotated[int, "files"]
    disk_bytes: Annotated[int, "bytes on disk"]
    state_bytes: Annotated[int, "state bytes"]
    state_bytes_without_config: Annotated[int, "without the configuration"]
    sent_bytes: Annotated[int, "sent for the last change"]
    memory_bytes: Annotated[int, "memory of all"]


@dataclass(frozen=True, slots=True)
class StateTrial:
    """One size: so many changes of a configuration with so many routes."""

    changes: int
    routes: int

    def run(self) -> list[StoredState]:
        """Return the rows of this size."""
        with tempfile.TemporaryDirectory() as folder:
            rows = list[StoredState]()

            async def scenario(cluster: CoordinatorCluster) -> None:
                if not isinstance(cluster, MeteredCluster):
                    raise BenchmarkError("the cluster does not count its bytes")
                await self._change_repeatedly(cluster, Path(folder), rows)

            run_scenario(scenario, cluster_type=MeteredCluster)
            return rows

    async def _change_repeatedly(self, cluster: MeteredCluster, folder: Path, rows: list[StoredState]) -> None:
        for number, machine in enumerate(cluster.machines.values()):
            machine.disk = DirectoryStorage(folder / str(number))  # type: ignore[assignment]
        machines = await cluster.bootstrap()
        operator = Operator(cluster, machines, self.routes, OrderStatistics())
        for change in range(1, self.changes + 1):
            sent_before = cluster.sent_bytes
            await operator.replace_config()
            for machine in machines:
                machine.committed_states.clear()  # the harness keeps them; a coordinator does not
            if change in (1, 2, self.changes):
                rows.append(self._row(machines[0], folder / "0", change, cluster.sent_bytes - sent_before))
        for machine in machines:
            await machine.kill()

    def _row(self, machine: CoordinatorMachine, directory: Path, changes: int, sent_bytes: int) -> StoredState:
        if machine.plane is None:
            raise BenchmarkError(f"coordinator {machine.address} does not run")
        file_sizes = [file.stat().st_size for file in directory.iterdir()]
        state = machine.plane.committed_state
        state_bytes = state.ByteSize()
        gc.collect()
        return StoredState(
            self.routes,
            changes,
            files=len(file_sizes),
            disk_bytes=sum(file_sizes),
            state_bytes=state_bytes,
            state_bytes_without_config=state_bytes - len(state.config),
            sent_bytes=sent_bytes,
            memory_bytes=tracemalloc.get_traced_memory()[0],
        )


def measure_all(changes: int, route_counts: Sequence[int]) -> Iterator[StoredState]:
    """Yield the rows of all sizes."""
    for routes in route_counts:
        yield from StateTrial(changes, routes).run()


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=1000)
    parser.add_argument("--routes", type=int, nargs="+", default=[20, 2000])
    arguments = parser.parse_args()
    tracemalloc.start()
    rows = measure_all(arguments.changes, arguments.routes)
    print_table("What a coordinator stores", StoredState, rows)


if __name__ == "__main__":
    main()
