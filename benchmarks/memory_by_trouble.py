"""Which trouble makes the gateway's memory grow: the real program among stand-ins, one trouble at a time.

    python -m benchmarks.memory_by_trouble [--requests 12000] [--write docs/measured/memory.md]

Each trouble has its own process. Resident memory is read after each third of the requests: what the first third adds
is warming up, what the last adds is growth.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.resident import resident
from tests.stand_ins import Backend, Counter, Discovery, Program, http, read_http, soon

CALLERS = 40
GOOD = http(200, b"scored")


def replies(kind: str) -> Callable[[int], bytes | None]:
    """What nodes say under a trouble."""
    bad: bytes | None = {
        "errors": http(500),
        "resets": b"",
        "spoilt": b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        "turned away": http(503, Srv_Declined="1"),
        "no answer": None,
    }.get(kind, GOOD)
    return lambda n: bad if n % 3 == 0 else GOOD


class Quiet(Backend):
    """A node that keeps no record of what came."""

    async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer as `reply` says."""
        while True:
            await read_http(reader)
            self.taken += 1
            answer = self.reply(self.taken)
            if answer == b"":
                return writer.transport.abort()
            writer.write(answer or b"")


class QuietCounter(Counter):
    """A counter that keeps no record of what came."""

    async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls; totals are forgotten, so that nobody is refused."""
        while True:
            await read_http(reader)
            writer.write(http(200, b"1"))


async def measure(kind: str, requests: int) -> list[int]:
    """Resident KiB at the start and after each third."""
    counter, discovery = QuietCounter(), Discovery()
    nodes: list[Backend] = [Quiet(f"b{n}", replies(kind)) for n in range(4)]
    for stand_in in (counter, discovery, *nodes):
        await stand_in.start()
    with tempfile.TemporaryDirectory() as folder:
        program = Program(folder, discovery.address, counter.address, nodes, 5000.0)
        await program.start()
        await program.logged('"serving"')
        assert program.process.stderr is not None
        drain = asyncio.create_task(program.process.stderr.read())
        sizes = [resident(program.process.pid)]
        left, stamp = 0, time.monotonic_ns()

        async def caller(number: int, until: int) -> None:
            nonlocal left
            reader = writer = None
            while left < until:
                left += 1
                turn = left
                if writer is None or reader is None:
                    reader, writer = await program.connect()
                customer = f"{turn if kind == 'new clients' else turn % 400:016x}"
                lines = [
                    f"GET /inspect/{customer} HTTP/1.1",
                    "Host: s",
                    f"Req-Id: {stamp + turn:016x}",
                    "X-Contract: full-plant",
                    f"Req-Deadline-Ms: {150 if kind == 'no answer' else 2000}",
                    "X-Metering: units=1,spread=2,first=0",
                ]
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                    if kind == "departures" and turn % 3 == 0:
                        await asyncio.sleep(0.001)
                        writer.transport.abort()
                    else:
                        await soon(read_http(reader))
                        continue
                reader = writer = None
            if writer is not None:
                writer.close()

        for third in (1, 2, 3):
            if kind == "replaced nodes":

                async def replace() -> None:
                    for seq in range(2, 10_000):
                        await asyncio.sleep(0.05)
                        nodes[seq % 4].name = f"b{seq}"
                        discovery.tell(seq, True, *nodes)

                replacing = asyncio.create_task(replace())
            await asyncio.gather(*(caller(n, requests * third // 3) for n in range(CALLERS)))
            if kind == "replaced nodes":
                replacing.cancel()
            sizes.append(resident(program.process.pid))
        program.process.terminate()
        await soon(program.process.wait())
        drain.cancel()
    for stand_in in (counter, discovery, *nodes):
        await stand_in.stop()
    return sizes


def main() -> None:
    """Measure all troubles and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=12_000)
    parser.add_argument("--write", type=Path)
    told = parser.parse_args()
    rows = []
    for kind in (
        "none",
        "new clients",
        "errors",
        "resets",
        "spoilt",
        "turned away",
        "no answer",
        "departures",
        "replaced nodes",
    ):
        sizes = asyncio.run(measure(kind, told.requests))
        growth = (sizes[3] - sizes[2]) * 3 / told.requests * 1000
        rows.append(f"| {kind} | {' | '.join(f'{size / 1024:.1f}' for size in sizes)} | {growth:.0f} |")
        print(rows[-1], flush=True)
    text = "\n".join(
        [
            "# Memory of the gateway by trouble",
            "",
            f"`python -m benchmarks.memory_by_trouble --requests {told.requests}`; MiB resident, a third of the",
            "requests meets the trouble; growth is that of the last third.",
            "",
            "| trouble | start | a third | two thirds | end | growth, KiB per 1,000 requests |",
            "| --- | --- | --- | --- | --- | --- |",
            *rows,
            "",
        ]
    )
    if told.write:
        told.write.write_text(text)


if __name__ == "__main__":
    main()
