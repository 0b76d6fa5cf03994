"""What a coordinator keeps after many changes: files and bytes on its disk, its state, bytes sent for a change.

Three real coordinators on real files, in virtual time. Prints a table row after the first change and after the last.

    python -m benchmarks.control_state [--changes 1000] [--routes 20 2000]
"""

from __future__ import annotations

import argparse
import gc
import tempfile
import tracemalloc
from pathlib import Path

from benchmarks.order_latency import Operator, Sample
from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from hallhitch.planes.control.storage import DirectoryStorage


class Counted(CoordinatorCluster):
    """A fleet that counts what its links carry."""

    sent_bytes = 0

    async def traverse_link(self, source: str, target: str, size_bytes: int = 0) -> None:
        """Count the bytes, then wait as the cluster does."""
        self.sent_bytes += size_bytes
        await super().traverse_link(source, target, size_bytes)


def row(machine: CoordinatorMachine, folder: Path, changes: int, routes: int, sent: float) -> str:
    """One line of the table."""
    assert machine.plane is not None
    files = [file.stat().st_size for file in folder.iterdir()]
    state = machine.plane.committed_state
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    light = state.ByteSize() - len(state.config)
    return (
        f"| {routes} | {changes} | {len(files)} | {sum(files):,} | {state.ByteSize():,} | {light:,} | "
        f"{sent:,.0f} | {memory:,} |"
    )


def measure(changes: int, routes: int) -> None:
    """Print the rows of one size."""

    async def scene(fleet: CoordinatorCluster) -> None:
        assert isinstance(fleet, Counted)
        with tempfile.TemporaryDirectory() as top:
            for number, machine in enumerate(fleet.machines.values()):
                machine.disk = DirectoryStorage(Path(top) / str(number))  # type: ignore[assignment]
            machines = await fleet.bootstrap()
            operator = Operator(fleet, machines, routes, Sample())
            for number in range(1, changes + 1):
                before = fleet.sent_bytes
                await operator.configure()
                for machine in machines:
                    machine.committed_states.clear()
                if number in (1, 2, changes):
                    print(row(machines[0], Path(top) / "0", number, routes, fleet.sent_bytes - before), flush=True)
            for machine in machines:
                await machine.kill()

    run_scenario(scene, cluster_type=Counted)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=1000)
    parser.add_argument("--routes", type=int, nargs="+", default=[20, 2000])
    asked = parser.parse_args()
    tracemalloc.start()
    print("| routes | changes | files | bytes on disk | state bytes | without content | sent for the last | memory |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for routes in asked.routes:
        measure(asked.changes, routes)


if __name__ == "__main__":
    main()
