"""Processor time of the real gateway a request, against a bare pass-through with the same socket calls and parser.

    python -m benchmarks.cpu_per_request [--rates 100 250 500 1000] [--seconds 6] [--write docs/measured/cpu.md]
    python -m benchmarks.cpu_per_request --profile 500     where the gateway's own time goes

Both run in turn, in one run. Backends and counter reply at once, in this process; the load is open-loop, from a process
of its own, on kept connections.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from benchmarks.measuring import BenchmarkError
from benchmarks.memory_by_trouble import Quiet, QuietCounter
from hallhitch.lab.load.generator import LoadPlan, run_load
from hallhitch.lab.load.schedule import ClassShare, RequestMix, arrival_times, make_requests
from hallhitch.lab.load.tally import LoadTally
from tests.stand_ins import ROOT, Backend, Discovery, Program, free_port, http

US_PER_TICK: Final = 1e6 / os.sysconf("SC_CLK_TCK")
WARM_UP_S: Final = 1.5
BACKEND_COUNT: Final = 4
REQUEST_MIX: Final = RequestMix(
    {"inspect": ClassShare(0.78, 4000, False), "reject": ClassShare(0.22, 1500, True)}, {"full-plant": 1.0}, 400, 64
)


@dataclass(frozen=True, slots=True)
class RequestCost:
    """Processor time a request, and what became of the load."""

    processor_us: float
    tally: LoadTally


def processor_us_of(pid: int) -> float:
    """Return the user and system time of a process in us."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) * US_PER_TICK


async def _run_load(pid: int, address: str, requests_per_s: float, duration_s: float, seed: int) -> RequestCost:
    arrivals = arrival_times("poisson", requests_per_s, duration_s, seed)
    requests = make_requests(arrivals, REQUEST_MIX, 3)
    before_us = processor_us_of(pid)
    tally = await asyncio.to_thread(run_load, LoadPlan(address, "http", requests))
    return RequestCost((processor_us_of(pid) - before_us) / max(1, tally.sent), tally)


async def measure_cost(pid: int, address: str, requests_per_s: float, duration_s: float) -> RequestCost:
    """Return the cost of a request at a rate, after warm-up."""
    await _run_load(pid, address, requests_per_s, WARM_UP_S, seed=11)
    return await _run_load(pid, address, requests_per_s, duration_s, seed=12)


@contextlib.asynccontextmanager
async def running_stand_ins() -> AsyncIterator[tuple[QuietCounter, Discovery, list[Backend]]]:
    """Run a counter, a discovery service and backends that reply at once."""
    counter = QuietCounter()
    discovery = Discovery()
    backends: list[Backend] = [Quiet(f"b{number}", lambda n: http(200, b"scored")) for number in range(BACKEND_COUNT)]
    for stand_in in (counter, discovery, *backends):
        await stand_in.start()
    try:
        yield counter, discovery, backends
    finally:
        for stand_in in (counter, discovery, *backends):
            await stand_in.stop()


async def _measure_passthrough(backends: Sequence[Backend], requests_per_s: float, duration_s: float) -> RequestCost:
    port = free_port()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-O",
        "-m",
        "benchmarks.passthrough",
        str(port),
        *(backend.address for backend in backends),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    if process.stdout is None:
        raise BenchmarkError("the pass-through has no standard output")
    await process.stdout.readline()  # it serves
    cost = await measure_cost(process.pid, f"127.0.0.1:{port}", requests_per_s, duration_s)
    process.terminate()
    await process.wait()
    return cost


def _row(requests_per_s: float, gateway: RequestCost, passthrough: RequestCost) -> str:
    served_ratio = gateway.tally.statuses["served"] / max(1, gateway.tally.sent)
    is_valid = gateway.tally.is_valid and passthrough.tally.is_valid
    return (
        f"| {requests_per_s:g} | {gateway.processor_us:.0f} | {passthrough.processor_us:.0f} | "
        f"{gateway.processor_us / passthrough.processor_us:.1f} | {served_ratio:.3f} | "
        f"{gateway.tally.percentiles()[50.0]:.1f} / {passthrough.tally.percentiles()[50.0]:.1f} | "
        f"{'yes' if is_valid else 'no'} |"
    )


async def measure(rates_per_s: Sequence[float], duration_s: float) -> list[str]:
    """Return the table's rows."""
    rows = []
    async with running_stand_ins() as (counter, discovery, backends):
        for requests_per_s in rates_per_s:
            with tempfile.TemporaryDirectory() as folder:
                program = Program(folder, discovery.address, counter.address, backends, 5000.0)
                await program.start(optimised=True)
                await program.logged('"serving"')
                gateway = await measure_cost(program.process.pid, program.listen, requests_per_s, duration_s)
                await program.stop()
            passthrough = await _measure_passthrough(backends, requests_per_s, duration_s)
            rows.append(_row(requests_per_s, gateway, passthrough))
            print(rows[-1], flush=True)
    return rows


async def profile(requests_per_s: float, duration_s: float) -> str:
    """Return where the gateway's time goes at a rate: a table by function."""
    async with running_stand_ins() as (counter, discovery, backends):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "profile"
            os.environ["PROFILE_TO"] = str(path)
            program = Program(folder, discovery.address, counter.address, backends, 5000.0)
            await program.start(optimised=True, module="benchmarks.profiled_gateway")
            await program.logged('"serving"')
            await measure_cost(program.process.pid, program.listen, requests_per_s, duration_s)
            await program.stop()
            return path.read_text()


def render_page(rows: Sequence[str], duration_s: float) -> str:
    """Return the page docs/measured/cpu.md."""
    lines = [
        "# CPU a request",
        "",
        f"`python -m benchmarks.cpu_per_request --seconds {duration_s:g}`: us of user and system time a request,",
        "of the gateway and of a bare pass-through with the same socket calls and parser, in one run.",
        "",
        "| requests a second | gateway | pass-through | ratio | served | p50, ms | schedule kept |",
        "| --- | --- | --- | --- | --- | --- | --- |",
        *rows,
        "",
    ]
    return "\n".join(lines)


def main() -> None:
    """Measure and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[100.0, 250.0, 500.0, 1000.0])
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--write", type=Path)
    parser.add_argument("--profile", type=float, metavar="RATE")
    arguments = parser.parse_args()
    if arguments.profile:
        print(asyncio.run(profile(arguments.profile, arguments.seconds)))
        return
    rows = asyncio.run(measure(arguments.rates, arguments.seconds))
    if arguments.write:
        arguments.write.write_text(render_page(rows, arguments.seconds))


if __name__ == "__main__":
    main()
