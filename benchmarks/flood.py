"""How late the real gateway's event loop and its operations address are in a flood of connections.

    python -m benchmarks.flood [--seconds 6] [--write docs/measured/flood.md]

Backends and counter reply at once, from this process. Usual load is open-loop, from processes of its own; the flood is
a process too, so that none of them waits for another. Calls to the operations address are timed from this process.
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
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Final

from benchmarks.cpu_per_request import REQUEST_MIX, processor_us_of, running_stand_ins
from hallhitch.lab.load.generator import LoadPlan, run_load
from hallhitch.lab.load.schedule import arrival_times, make_requests
from tests.stand_ins import Program, free_port

LIMITS: Final = {"sockets": 384, "memory_mb": 80}
FLOOD_CONNECTIONS: Final = 2000  # held open; the oldest are replaced
CONNECT_INTERVAL_S: Final = 0.0005
CONNECTING: Final = 16  # the newest connections may not be established yet
HALF_REQUEST: Final = b"GET /inspect/0000000000000001 HTTP/1.1\r\nHost: s\r\nReq-Id: "
BAD_REQUESTS: Final = b"GET /nothing/here HTTP/1.1\r\nHost: s\r\n\r\n" * 200
CALL_INTERVAL_S: Final = 0.1  # between calls of the operations address
POLL_INTERVAL_S: Final = 0.01
WARM_UP_S: Final = 1.5


class Flood(StrEnum):
    """What the flood's connections send; the values are those of docs/measured/flood.md."""

    NONE = ""
    SILENT = "silent"
    HALF_REQUESTS = "half written"
    BAD_REQUESTS = "rude"


PAYLOADS: Final = {Flood.SILENT: b"", Flood.HALF_REQUESTS: HALF_REQUEST, Flood.BAD_REQUESTS: BAD_REQUESTS}


@dataclass(frozen=True, slots=True)
class Workload:
    """Usual load, and a flood beside it."""

    requests_per_s: float
    flood: Flood = Flood.NONE

    @property
    def label(self) -> str:
        """The first cell of the row."""
        return f"{self.requests_per_s:g}" + (f", {self.flood} crowd" if self.flood else "")


WORKLOADS: Final = (
    Workload(200.0),
    Workload(1000.0),
    Workload(2000.0),
    Workload(200.0, Flood.SILENT),
    Workload(200.0, Flood.HALF_REQUESTS),
    Workload(200.0, Flood.BAD_REQUESTS),
)


def run_flood(address: str, flood: Flood, duration_s: float) -> None:
    """Open connections for so long and send the flood's payload on each; replace the oldest."""
    host, port = address.split(":")
    payload = PAYLOADS[flood]
    connections: list[socket.socket] = []
    deadline_s = time.monotonic() + duration_s
    while time.monotonic() < deadline_s:
        connection = socket.socket()
        connection.setblocking(False)
        with contextlib.suppress(BlockingIOError, OSError):
            connection.connect((host, int(port)))
        connections.append(connection)
        if len(connections) > CONNECTING:
            with contextlib.suppress(OSError):
                connections[-CONNECTING].send(payload)
        if len(connections) >= FLOOD_CONNECTIONS:
            for oldest in connections[:CONNECTING]:
                oldest.close()
            del connections[:CONNECTING]
        time.sleep(CONNECT_INTERVAL_S)


async def call_operations(program: Program, duration_s: float) -> list[float]:
    """Return the ms of each call of the operations address, from connecting to the end of the reply."""
    latencies_ms = list[float]()
    deadline_s = time.monotonic() + duration_s
    while time.monotonic() < deadline_s:
        started_s = time.monotonic()
        status, _ = await program.call("/api/telemetry")
        latencies_ms.append((time.monotonic() - started_s) * 1000 if status == 200 else float("inf"))
        await asyncio.sleep(CALL_INTERVAL_S)
    return latencies_ms


async def read_loop_lags(program: Program, path: Path) -> list[float]:
    """Return the percentiles of the gateway's loop lag in ms since they were last read, and start anew."""
    before = path.read_text() if path.exists() else ""
    program.process.send_signal(signal.SIGUSR1)
    while True:
        text = path.read_text() if path.exists() else before
        if text != before and text.endswith("\n"):
            lags_ms: list[float] = json.loads(text.splitlines()[-1])
            return lags_ms
        await asyncio.sleep(POLL_INTERVAL_S)


async def measure(program: Program, lag_path: Path, workload: Workload, duration_s: float) -> str:
    """Return one row: cores used, share served, the loop's lag, and the times of the calls."""
    await read_loop_lags(program, lag_path)
    flood = multiprocessing.get_context("spawn").Process(
        target=run_flood, args=(program.listen, workload.flood, duration_s)
    )
    if workload.flood:
        flood.start()
    arrivals = arrival_times("poisson", workload.requests_per_s, duration_s, 5)
    plan = LoadPlan(program.listen, "http", make_requests(arrivals, REQUEST_MIX, 3))
    before_us = processor_us_of(program.process.pid)
    started_s = time.monotonic()
    latencies_ms, tally = await asyncio.gather(call_operations(program, duration_s), asyncio.to_thread(run_load, plan))
    elapsed_s = time.monotonic() - started_s
    cores = (processor_us_of(program.process.pid) - before_us) / elapsed_s / 1e6
    lags_ms = await read_loop_lags(program, lag_path)
    if workload.flood:
        await asyncio.to_thread(flood.join)
    served_ratio = tally.statuses["served"] / max(1, tally.sent)
    median_ms = sorted(latencies_ms)[len(latencies_ms) // 2]
    return (
        f"| {workload.label} | {cores:.2f} | {served_ratio:.3f} | "
        f"{' / '.join(f'{lag_ms:.1f}' for lag_ms in lags_ms)} | {median_ms:.1f} / {max(latencies_ms):.1f} | "
        f"{len(latencies_ms)} |"
    )


async def measure_all(duration_s: float, on_row: Callable[[str], None]) -> None:
    """Measure all workloads on one gateway, which has served those before."""
    async with running_stand_ins() as (counter, discovery, backends):
        with tempfile.TemporaryDirectory() as folder:
            lag_path = Path(folder) / "lag"
            os.environ["LAG_TO"] = str(lag_path)
            program = Program(folder, discovery.address, counter.address, backends, 5000.0)
            program.config |= {"limits": LIMITS, "ops": f"127.0.0.1:{free_port()}"}
            await program.start(optimised=True, module="benchmarks.lagging_gateway")
            await program.logged('"serving"')
            await measure(program, lag_path, Workload(200.0), WARM_UP_S)
            for workload in WORKLOADS:
                on_row(await measure(program, lag_path, workload, duration_s))
            await program.stop()


def page_head(duration_s: float) -> list[str]:
    """Return the first lines of docs/measured/flood.md."""
    return [
        "# In a flood: the loop's lag, and the second address",
        "",
        f"    python -m benchmarks.flood --seconds {duration_s:g}",
        "",
        f"Limits {LIMITS}; a crowd holds up to {FLOOD_CONNECTIONS} connections, about 1,500 new a second. "
        "The gateway has",
        "a whole core. Lag is by how much a timer due every 5 ms is late; a call is `GET /api/telemetry`, from",
        "connecting to the end of its answer.",
        "",
        "| a second | cores used | served | lag, ms: p50 / p99 / p99.9 / most | call, ms: p50 / most | calls |",
        "| --- | --- | --- | --- | --- | --- |",
    ]


def main() -> None:
    """Measure, and print or write the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--write", type=Path)
    arguments = parser.parse_args()
    lines = page_head(arguments.seconds)

    def on_row(row: str) -> None:
        lines.append(row)
        print(row, flush=True)

    asyncio.run(measure_all(arguments.seconds, on_row))
    if arguments.write:
        arguments.write.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
