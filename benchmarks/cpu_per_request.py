"""CPU of the real gateway a request, against a bare pass-through with the same socket calls and parser, in one run.

    python -m benchmarks.cpu_per_request [--rates 100 250 500 1000] [--seconds 6] [--write docs/measured/cpu.md]
    python -m benchmarks.cpu_per_request --profile 500     where the gateway's own time goes

Nodes and counter answer at once, in this process; the load is open-loop, from a process of its own, on kept
connections.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from benchmarks.memory_by_trouble import Quiet, QuietCounter
from hallhitch.lab.load.generator import LoadPlan, run_load
from hallhitch.lab.load.schedule import MixedClass, RequestMix, arrival_times, make_requests
from hallhitch.lab.load.tally import LoadTally
from tests.stand_ins import ROOT, Backend, Discovery, Program, free_port, http

TICK = 1e6 / os.sysconf("SC_CLK_TCK")
MIX = RequestMix(
    {"inspect": MixedClass(0.78, 4000, False), "reject": MixedClass(0.22, 1500, True)}, {"full-plant": 1.0}, 400, 64
)


def cpu_us(pid: int) -> float:
    """CPU time of a process, in us."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK


async def cost(pid: int, address: str, rate: float, seconds: float) -> tuple[float, LoadTally]:
    """us of CPU a request, at a rate, once it is warm."""
    found = 0.0, LoadTally()
    for turn, long in enumerate((1.5, seconds)):
        asked = make_requests(arrival_times("poisson", rate, long, 11 + turn), MIX, 3)
        before = cpu_us(pid)
        tally = await asyncio.to_thread(run_load, LoadPlan(address, "http", asked))
        found = (cpu_us(pid) - before) / max(1, tally.sent), tally
    return found


@contextlib.asynccontextmanager
async def stood() -> AsyncIterator[tuple[QuietCounter, Discovery, list[Backend]]]:
    """Stand-ins that answer at once, for as long as they are needed."""
    counter, discovery = QuietCounter(), Discovery()
    nodes: list[Backend] = [Quiet(f"b{n}", lambda n: http(200, b"scored")) for n in range(4)]
    for stand_in in (counter, discovery, *nodes):
        await stand_in.start()
    yield counter, discovery, nodes
    for stand_in in (counter, discovery, *nodes):
        await stand_in.stop()


async def measure(rates: list[float], seconds: float) -> list[str]:
    """The table's rows."""
    rows = []
    async with stood() as (counter, discovery, nodes):
        for rate in rates:
            with tempfile.TemporaryDirectory() as folder:
                program = Program(folder, discovery.address, counter.address, nodes, 5000.0)
                await program.start(optimised=True)
                await program.logged('"serving"')
                ours, told = await cost(program.process.pid, program.listen, rate, seconds)
                await program.stop()
            port = free_port()
            bare: Any = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "benchmarks.passthrough",
                str(port),
                *(node.address for node in nodes),
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
            )
            await bare.stdout.readline()
            theirs, other = await cost(bare.pid, f"127.0.0.1:{port}", rate, seconds)
            bare.terminate()
            await bare.wait()
            served = told.statuses["served"] / max(1, told.sent)
            rows.append(
                f"| {rate:g} | {ours:.0f} | {theirs:.0f} | {ours / theirs:.1f} | {served:.3f} | "
                f"{told.percentiles()[50.0]:.1f} / {other.percentiles()[50.0]:.1f} | "
                f"{'yes' if told.is_valid and other.is_valid else 'no'} |"
            )
            print(rows[-1], flush=True)
    return rows


async def profile(rate: float, seconds: float) -> str:
    """Where the gateway's time goes at a rate: a table by function."""
    async with stood() as (counter, discovery, nodes):
        with tempfile.TemporaryDirectory() as folder:
            os.environ["PROFILE_TO"] = str(Path(folder) / "profile")
            program = Program(folder, discovery.address, counter.address, nodes, 5000.0)
            await program.start(optimised=True, module="benchmarks.profiled_gateway")
            await program.logged('"serving"')
            await cost(program.process.pid, program.listen, rate, seconds)
            await program.stop()
            found = Path(os.environ["PROFILE_TO"]).read_text()
    return found


def main() -> None:
    """Measure and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[100.0, 250.0, 500.0, 1000.0])
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--write", type=Path)
    parser.add_argument("--profile", type=float, metavar="RATE")
    told = parser.parse_args()
    if told.profile:
        return print(asyncio.run(profile(told.profile, told.seconds)))
    rows = asyncio.run(measure(told.rates, told.seconds))
    text = "\n".join(
        [
            "# CPU a request",
            "",
            f"`python -m benchmarks.cpu_per_request --seconds {told.seconds:g}`: us of user and system time a request,",
            "of the gateway and of a bare pass-through with the same socket calls and parser, in one run.",
            "",
            "| requests a second | gateway | pass-through | ratio | served | p50, ms | schedule kept |",
            "| --- | --- | --- | --- | --- | --- | --- |",
            *rows,
            "",
        ]
    )
    if told.write:
        told.write.write_text(text)


if __name__ == "__main__":
    main()
