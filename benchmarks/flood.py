"""How late the real gateway's loop and its second address are in a flood.

    python -m benchmarks.flood [--seconds 6] [--write docs/measured/flood.md]

Nodes and counter answer at once, from this process. Usual load is open-loop, from processes of its own; the crowd is a
process too, so that none of them waits for another. What the second address is asked is timed from this process.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import os
import signal
import socket
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from benchmarks.cpu_per_request import MIX, cpu_us, stood
from hallhitch.lab.load.generator import LoadPlan, run_load
from hallhitch.lab.load.schedule import arrival_times, make_requests
from hallhitch.lab.load.tally import LoadTally
from tests.stand_ins import Program, free_port

LIMITS = {"sockets": 384, "memory_mb": 80}
CROWD = 2000  # connections of the crowd that are held open, and made anew as they end
HALF = b"GET /inspect/0000000000000001 HTTP/1.1\r\nHost: s\r\nReq-Id: "
RUDE = b"GET /nothing/here HTTP/1.1\r\nHost: s\r\n\r\n" * 200
ASK = 0.1  # s between calls of the second address


def crowd(address: str, kind: str, seconds: float) -> None:
    """Come in crowds for so long: say nothing, half a request, or hundreds of bad ones at once."""
    host, port = address.split(":")
    says = {"silent": b"", "half written": HALF, "rude": RUDE}[kind]
    held: list[socket.socket] = []
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        sock = socket.socket()
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError, OSError):
            sock.connect((host, int(port)))
        held.append(sock)
        if len(held) > 16:  # connected by now
            with contextlib.suppress(OSError):
                held[-16].send(says)
        if len(held) >= CROWD:
            for one in held[:16]:
                one.close()
            del held[:16]
        time.sleep(0.0005)


async def asked(program: Program, seconds: float) -> list[float]:
    """How long each call of the second address took, in ms, from connecting to the end of the answer."""
    took, ends = [], time.monotonic() + seconds
    while time.monotonic() < ends:
        began = time.monotonic()
        status, _ = await program.call("/api/telemetry")
        took.append((time.monotonic() - began) * 1000 if status == 200 else float("inf"))
        await asyncio.sleep(ASK)
    return took


async def measure(program: Program, path: Path, rate: float, kind: str, seconds: float) -> str:
    """One row: the loop's lag, the calls' times, CPU, what of the usual load was served."""

    async def told() -> list[float]:
        before = path.read_text() if path.exists() else ""
        program.process.send_signal(signal.SIGUSR1)
        while not path.exists() or (text := path.read_text()) == before or not text.endswith("\n"):
            await asyncio.sleep(0.01)
        lags: list[float] = json.loads(text.splitlines()[-1])
        return lags

    await told()
    guests = multiprocessing.get_context("spawn").Process(target=crowd, args=(program.listen, kind, seconds))
    if kind:
        guests.start()
    plan = LoadPlan(program.listen, "http", make_requests(arrival_times("poisson", rate, seconds, 5), MIX, 3))
    before, began = cpu_us(program.process.pid), time.monotonic()
    usual: Awaitable[LoadTally] = asyncio.to_thread(run_load, plan)
    calls, tally = await asyncio.gather(asked(program, seconds), usual)
    busy = (cpu_us(program.process.pid) - before) / (time.monotonic() - began) / 1e6
    lags = await told()
    if kind:
        await asyncio.to_thread(guests.join)
    served = tally.statuses["served"] / max(1, tally.sent)
    return (
        f"| {rate:g}{f', {kind} crowd' if kind else ''} | {busy:.2f} | {served:.3f} | "
        f"{' / '.join(f'{lag:.1f}' for lag in lags)} | {sorted(calls)[len(calls) // 2]:.1f} / {max(calls):.1f} | "
        f"{len(calls)} |"
    )


async def run(seconds: float, say: Callable[[str], None]) -> None:
    """All rows, each on a gateway that has served the ones before."""
    async with stood() as (counter, discovery, nodes):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "lag"
            os.environ["LAG_TO"] = str(path)
            program = Program(folder, discovery.address, counter.address, nodes, 5000.0)
            program.config |= {"limits": LIMITS, "ops": f"127.0.0.1:{free_port()}"}
            await program.start(optimised=True, module="benchmarks.lagging_gateway")
            await program.logged('"serving"')
            await measure(program, path, 200, "", 1.5)  # warm
            for rate, kind in (
                (200.0, ""),
                (1000.0, ""),
                (2000.0, ""),
                (200.0, "silent"),
                (200.0, "half written"),
                (200.0, "rude"),
            ):
                say(await measure(program, path, rate, kind, seconds))
            await program.stop()


def main() -> None:
    """Measure, and print or write the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--write", type=Path)
    given = parser.parse_args()
    lines = [
        "# In a flood: the loop's lag, and the second address",
        "",
        f"    python -m benchmarks.flood --seconds {given.seconds:g}",
        "",
        f"Limits {LIMITS}; a crowd holds up to {CROWD} connections, about 1,500 new a second. The gateway has",
        "a whole core. Lag is by how much a timer due every 5 ms is late; a call is `GET /api/telemetry`, from",
        "connecting to the end of its answer.",
        "",
        "| a second | cores used | served | lag, ms: p50 / p99 / p99.9 / most | call, ms: p50 / most | calls |",
        "| --- | --- | --- | --- | --- | --- |",
    ]

    def say(row: str) -> None:
        lines.append(row)
        print(row, flush=True)

    asyncio.run(run(given.seconds, say))
    if given.write:
        given.write.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
