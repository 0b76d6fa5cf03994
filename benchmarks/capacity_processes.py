"""What a capacity trial runs and calls: coordinators, processes of simulated gateways, the emulated endpoint list."""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

from benchmarks.capacity_site import OPERATOR_PORT
from benchmarks.measuring import BenchmarkError
from benchmarks.sample_data import sample_backend
from benchmarks.simulated_gateways import Command, GroupReport
from hallhitch.node.http_server import HttpReply

BACKEND_COUNT: Final = 100
PAGE_ENTRIES: Final = 50  # two pages for the list: paging is part of the cost
ORDER_TIMEOUT_S: Final = 2.0
REPLY_LIMIT_BYTES: Final = 2**24  # one line holds the latencies of a whole window
CLOCK_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
INHERITED_VARIABLES: Final = ("PATH", "HOME", "LANG", "VIRTUAL_ENV")


class EndpointListServer:
    """Emulates the platform's endpoint list: pages of backends, of which some drain."""

    def __init__(self) -> None:
        self.backends = [sample_backend(number) for number in range(BACKEND_COUNT)]
        self.draining_instances: set[str] = set()

    def handle(self, method: str, target: str, body: bytes) -> HttpReply:
        """Return the page that the target asks for."""
        first = int(target.partition("pageToken=")[2] or 0)
        end = first + PAGE_ENTRIES
        rows = [
            [
                backend.instance,
                backend.service,
                f"{backend.host}:{backend.port}",
                backend.zone,
                backend.slots,
                "draining" if backend.instance in self.draining_instances else "ready",
            ]
            for backend in self.backends[first:end]
        ]
        page = {
            "instances": {
                "columnNames": ["instanceId", "targetService", "address", "zone", "slotCount", "state"],
                "rowValues": rows,
            },
            "nextPageToken": str(end) if end < len(self.backends) else None,
        }
        return HttpReply(200, {"Content-Type": "application/json"}, json.dumps(page).encode())


class GatewayProcess:
    """A process of simulated gateways, as the benchmark that leads it sees it."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(cls, first: int, count: int, settings: Path) -> GatewayProcess:
        """Start a process of `count` gateways."""
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "benchmarks.simulated_gateways",
                str(first),
                str(count),
                str(settings),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=REPLY_LIMIT_BYTES,
            )
        )

    async def report(self) -> GroupReport:
        """Return the state and counters of its gateways."""
        return GroupReport(**await self._call(Command.REPORT))

    async def count(self, duration_s: float) -> list[float]:
        """Let its gateways count for so long; return the latencies in ms."""
        latencies_ms: list[float] = await self._call(f"{Command.COUNT} {duration_s}")
        return latencies_ms

    async def _call(self, command: str) -> Any:
        if self.process.stdin is None or self.process.stdout is None:
            raise BenchmarkError("a process of simulated gateways has no pipes")
        self.process.stdin.write(f"{command}\n".encode())
        line = await self.process.stdout.readline()
        if not line:
            raise BenchmarkError("a process of simulated gateways has ended")
        return json.loads(line)


def processor_s(pids: Sequence[int]) -> float:
    """Return the seconds of processor time that these processes have used."""
    ticks = 0
    for pid in pids:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        user_ticks, system_ticks = int(fields[11]), int(fields[12])
        ticks += user_ticks + system_ticks
    return ticks / CLOCK_TICKS_PER_S


def _send_order(host: str, call: str, body: bytes) -> bool:
    connection = http.client.HTTPConnection(host, OPERATOR_PORT, timeout=ORDER_TIMEOUT_S)
    try:
        connection.request("POST", f"/hallhitch/rpc?call={call}", body)
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


async def order(host: str, call: str, body: bytes = b"") -> bool:
    """Send one order of the operator to one coordinator; return whether it was acknowledged."""
    return await asyncio.to_thread(_send_order, host, call, body)


async def start_coordinator(settings: Path) -> asyncio.subprocess.Process:
    """Start one coordinator with that settings file."""
    environment = {name: os.environ[name] for name in INHERITED_VARIABLES if name in os.environ}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-O",
        "-m",
        "hallhitch.programs.coordinator",
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
        env={**environment, "HALLHITCH_NODE_FILE": str(settings)},
    )
