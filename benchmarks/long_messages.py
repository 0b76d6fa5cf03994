"""Memory of the real gateway while many long answers pass to slow readers, and long bodies come from slow writers.

    python -m benchmarks.long_messages [--many 40] [--megabytes 32] [--enforce 64] [--write FILE]

With --enforce the kernel gives the gateway no more data than takes it to so many MiB resident: what it asks for
past that fails. Every client asks at once; answers are all under way before any client reads on. Nodes and counter are
in this process.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import resource
import tempfile
import time
from pathlib import Path

from benchmarks.memory_by_trouble import QuietCounter
from benchmarks.resident import resident
from tests.stand_ins import Backend, Discovery, Program, Reader, Writer

LIMITS = {"sockets": 1024, "memory_mb": 64}
CALM = 30.0  # s for all to come; the end of a wait in vain


class Sender(Backend):
    """A node that answers with so many bytes, however slowly they are taken, and reads any body first."""

    size = 0

    async def serve(self, number: int, reader: Reader, writer: Writer) -> None:
        """One request."""
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = int((head.partition(b"content-length:")[2] or b"0").split()[0])
        while length:
            length -= len(await reader.read(min(length, 65_536)))
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % self.size)
        piece = bytes(65_536)
        for _ in range(self.size // len(piece)):
            writer.write(piece)
            await writer.drain()
        writer.write_eof()


async def client(program: Program, number: int, body: int, go: asyncio.Event) -> int:
    """Ask, stand still until told to go on, and read it all; the bytes read."""
    reader, writer = await program.connect()
    method = f"POST /reject/{number:016x}" if body else f"GET /inspect/{number:016x}"
    extra = f"Idempotency-Key: k\r\nContent-Length: {body}\r\n" if body else ""
    writer.write(
        f"{method} HTTP/1.1\r\nHost: s\r\nReq-Id: {number:016x}\r\nX-Contract: full-plant\r\n"
        f"Req-Deadline-Ms: 1500\r\nConnection: close\r\n{extra}\r\n".encode()
    )
    piece = bytes(16_384)
    for _ in range(body // len(piece)):
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0.05 if not go.is_set() else 0)
    await reader.readuntil(b"\r\n\r\n")
    await go.wait()
    count = 0
    while piece := await reader.read(262_144):
        count += len(piece)
    writer.close()
    return count


def enforce(pid: int, megabytes: int) -> None:
    """Let a process have no more data (private memory that it can write) than takes it to so many MiB resident."""
    more = (megabytes << 10) - resident(pid)
    most = (resident(pid, "VmData") + more) << 10
    resource.prlimit(pid, resource.RLIMIT_DATA, (most, most))


async def measure(many: int, size: int, body: int, most: int = 0) -> list[float]:
    """MiB before, with all under way, at most; the share come whole; seconds. `most` MiB are enforced, if not 0."""
    # As many nodes as clients: how much a node may be given at once is not what is measured here.
    nodes, counter, discovery = [Sender(f"b{n}") for n in range(many)], QuietCounter(), Discovery()
    for node in nodes:
        node.size = size
    for stand_in in (*nodes, counter, discovery):
        await stand_in.start()
    with tempfile.TemporaryDirectory() as folder:
        program = Program(folder, discovery.address, counter.address, list(nodes), 5000.0)
        program.config["limits"] = LIMITS
        await program.start(optimised=True)
        await program.logged('"serving"')
        pid, began, go = program.process.pid, time.monotonic(), asyncio.Event()
        before = resident(pid) / 1024
        if most:
            enforce(pid, most)
        clients = [asyncio.create_task(client(program, n, body, go)) for n in range(many)]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*map(asyncio.shield, clients)), 3.0)
        standing = resident(pid) / 1024
        go.set()
        done = await asyncio.wait_for(asyncio.gather(*clients, return_exceptions=True), CALM + many * size / 1e8)
        whole = sum(count == size // 65_536 * 65_536 for count in done) / many
        found = [before, standing, resident(pid, "VmHWM") / 1024, whole, time.monotonic() - began]
        await program.stop()
    for stand_in in (*nodes, counter, discovery):
        await stand_in.stop()
    return found


def main() -> None:
    """Measure, and print or write the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--many", type=int, default=40)
    parser.add_argument("--megabytes", type=int, default=32)
    parser.add_argument("--enforce", type=int, default=0, metavar="MIB")
    parser.add_argument("--write", type=Path)
    given = parser.parse_args()
    size = given.megabytes << 20
    lines = [
        "# Long messages: memory",
        "",
        f"    python -m benchmarks.long_messages --many {given.many} "
        f"--megabytes {given.megabytes}" + (f" --enforce {given.enforce}" if given.enforce else ""),
        "",
        f"{given.many} at once, limits {LIMITS}; readers stand still until all are under way. MiB resident"
        + (f", {given.enforce} at most by the kernel." if given.enforce else "."),
        "",
        "| case | before | all under way | at most | came whole | s |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for case, answer, body in (("answers", size, 0), ("answers, and bodies of a 32nd", size, size // 32)):
        row = asyncio.run(measure(given.many, answer, body, given.enforce))
        lines.append(f"| {case} | {row[0]:.1f} | {row[1]:.1f} | {row[2]:.1f} | {row[3]:.0%} | {row[4]:.1f} |")
    text = "\n".join(lines) + "\n"
    print(text)
    if given.write:
        given.write.write_text(text)


if __name__ == "__main__":
    main()
