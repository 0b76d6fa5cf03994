"""Which fault makes the gateway's memory grow: the real program among stand-ins, one fault at a time.

    python -m benchmarks.memory_by_trouble [--requests 12000] [--write docs/measured/memory.md]

Each fault has its own process. Resident memory is read after each third of the requests: what the first third adds is
warm-up, what the last adds is growth.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Sequence
from enum import StrEnum
from pathlib import Path
from typing import Final

from benchmarks.measuring import BenchmarkError
from benchmarks.resident import resident
from tests.stand_ins import Backend, Counter, Discovery, Program, Reader, Writer, http, read_http, soon

CLIENT_CONNECTIONS: Final = 40
BACKEND_COUNT: Final = 4
KNOWN_CUSTOMERS: Final = 400
FAULT_INTERVAL: Final = 3  # each third request meets the fault
DEADLINE_MS: Final = 2000
SHORT_DEADLINE_MS: Final = 150  # where backends do not reply
ABORT_AFTER_S: Final = 0.001
REPLACE_INTERVAL_S: Final = 0.05
MAX_REPLACEMENTS: Final = 10_000
GOOD_REPLY: Final = http(200, b"scored")


class FaultKind(StrEnum):
    """What every third request meets; the values are those of docs/measured/memory.md."""

    NONE = "none"
    NEW_CUSTOMERS = "new clients"
    ERRORS = "errors"
    RESETS = "resets"
    MALFORMED = "spoilt"
    REJECTED = "turned away"
    NO_REPLY = "no answer"
    CLIENT_ABORTS = "departures"
    REPLACED_BACKENDS = "replaced nodes"


# An empty reply resets the connection; None is no reply.
FAULTY_REPLIES: Final[dict[FaultKind, bytes | None]] = {
    FaultKind.ERRORS: http(500),
    FaultKind.RESETS: b"",
    FaultKind.MALFORMED: b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
    FaultKind.REJECTED: http(503, Srv_Declined="1"),
    FaultKind.NO_REPLY: None,
}


def backend_replies(fault: FaultKind) -> Callable[[int], bytes | None]:
    """Return what backends reply to each request, by its number."""
    faulty = FAULTY_REPLIES.get(fault, GOOD_REPLY)
    return lambda number: faulty if number % FAULT_INTERVAL == 0 else GOOD_REPLY


class Quiet(Backend):
    """A backend that keeps no record of what came."""

    async def serve(self, number: int, reader: Reader, writer: Writer) -> None:
        """Reply as `reply` says."""
        while True:
            await read_http(reader)
            self.taken += 1
            reply = self.reply(self.taken)
            if reply == b"":
                writer.transport.abort()
                return
            writer.write(reply or b"")


class QuietCounter(Counter):
    """A counter that keeps no record of what came."""

    async def serve(self, number: int, reader: Reader, writer: Writer) -> None:
        """Reply to calls; totals are forgotten, so that no request is rejected."""
        while True:
            await read_http(reader)
            writer.write(http(200, b"1"))


class Clients:
    """Client connections that share a sequence of requests."""

    def __init__(self, program: Program, fault: FaultKind) -> None:
        self._program = program
        self._fault = fault
        self._sent = 0
        self._first_id = time.monotonic_ns()

    async def send_until(self, total: int) -> None:
        """Send requests on all connections until so many have been sent since the start."""
        await asyncio.gather(*(self._send_on_one_connection(total) for _ in range(CLIENT_CONNECTIONS)))

    async def _send_on_one_connection(self, total: int) -> None:
        connection: tuple[Reader, Writer] | None = None
        while self._sent < total:
            self._sent += 1
            number = self._sent
            if connection is None:
                connection = await self._program.connect()
            if not await self._exchange(connection, number):
                connection = None
        if connection is not None:
            connection[1].close()

    async def _exchange(self, connection: tuple[Reader, Writer], number: int) -> bool:
        """Send one request; return whether the connection can be kept."""
        reader, writer = connection
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            writer.write(self._request(number))
            if self._fault is FaultKind.CLIENT_ABORTS and number % FAULT_INTERVAL == 0:
                await asyncio.sleep(ABORT_AFTER_S)
                writer.transport.abort()
                return False
            await soon(read_http(reader))
            return True
        return False

    def _request(self, number: int) -> bytes:
        customer = number if self._fault is FaultKind.NEW_CUSTOMERS else number % KNOWN_CUSTOMERS
        deadline_ms = SHORT_DEADLINE_MS if self._fault is FaultKind.NO_REPLY else DEADLINE_MS
        lines = [
            f"GET /inspect/{customer:016x} HTTP/1.1",
            "Host: s",
            f"Req-Id: {self._first_id + number:016x}",
            "X-Contract: full-plant",
            f"Req-Deadline-Ms: {deadline_ms}",
            "X-Metering: units=1,spread=2,first=0",
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


@contextlib.asynccontextmanager
async def _replacing(discovery: Discovery, backends: Sequence[Backend], fault: FaultKind) -> AsyncIterator[None]:
    """Rename one backend after the other meanwhile, if that is the fault."""

    async def replace() -> None:
        for sequence in range(2, MAX_REPLACEMENTS):
            await asyncio.sleep(REPLACE_INTERVAL_S)
            backends[sequence % BACKEND_COUNT].name = f"b{sequence}"
            discovery.tell(sequence, True, *backends)

    if fault is not FaultKind.REPLACED_BACKENDS:
        yield
        return
    task = asyncio.create_task(replace())
    try:
        yield
    finally:
        task.cancel()


async def measure(fault: FaultKind, requests: int) -> list[int]:
    """Return the resident KiB at the start and after each third of the requests."""
    counter = QuietCounter()
    discovery = Discovery()
    backends: list[Backend] = [Quiet(f"b{number}", backend_replies(fault)) for number in range(BACKEND_COUNT)]
    for stand_in in (counter, discovery, *backends):
        await stand_in.start()
    with tempfile.TemporaryDirectory() as folder:
        program = Program(folder, discovery.address, counter.address, backends, 5000.0)
        await program.start()
        await program.logged('"serving"')
        if program.process.stderr is None:
            raise BenchmarkError("the gateway's log is not read")
        drain_task = asyncio.create_task(program.process.stderr.read())
        sizes_kib = [resident(program.process.pid)]
        clients = Clients(program, fault)
        for third in (1, 2, 3):
            async with _replacing(discovery, backends, fault):
                await clients.send_until(requests * third // 3)
            sizes_kib.append(resident(program.process.pid))
        program.process.terminate()
        await soon(program.process.wait())
        drain_task.cancel()
    for stand_in in (counter, discovery, *backends):
        await stand_in.stop()
    return sizes_kib


def table_row(fault: FaultKind, sizes_kib: Sequence[int], requests: int) -> str:
    """Return the row of a fault: resident MiB, and KiB of growth per 1,000 requests in the last third."""
    growth_kib = (sizes_kib[3] - sizes_kib[2]) * 3 / requests * 1000
    return f"| {fault} | {' | '.join(f'{size_kib / 1024:.1f}' for size_kib in sizes_kib)} | {growth_kib:.0f} |"


def render_page(rows: Sequence[str], requests: int) -> str:
    """Return the page docs/measured/memory.md."""
    lines = [
        "# Memory of the gateway by trouble",
        "",
        f"`python -m benchmarks.memory_by_trouble --requests {requests}`; MiB resident, a third of the",
        "requests meets the trouble; growth is that of the last third.",
        "",
        "| trouble | start | a third | two thirds | end | growth, KiB per 1,000 requests |",
        "| --- | --- | --- | --- | --- | --- |",
        *rows,
        "",
    ]
    return "\n".join(lines)


def main() -> None:
    """Measure all faults and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=12_000)
    parser.add_argument("--write", type=Path)
    arguments = parser.parse_args()
    rows = []
    for fault in FaultKind:
        sizes_kib = asyncio.run(measure(fault, arguments.requests))
        rows.append(table_row(fault, sizes_kib, arguments.requests))
        print(rows[-1], flush=True)
    if arguments.write:
        arguments.write.write_text(render_page(rows, arguments.requests))


if __name__ == "__main__":
    main()
