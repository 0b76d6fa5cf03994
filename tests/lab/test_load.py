"""The load generator against a server whose true delays are known, and a closed loop beside it."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
import unittest
from pathlib import Path

import msgspec
import numpy as np

from hallhitch.lab import load
from tests.cli.test_commands import run as command
from tests.stand_ins import StandIn, http, read_http, soon

STALL = 2.0  # s
MIX = load.Mix({"inspect": (0.8, 4000, False), "reject": (0.2, 1500, True)}, {"small-shop": 1.0}, 50, 64)


class Stalling(StandIn):
    """Answers at once, but for one stall, from the first request after `at` on; knows when that was."""

    def __init__(self) -> None:
        super().__init__()
        self.at = float("inf")
        self.stall = (0.0, 0.0)
        self.wrote: dict[str, float] = {}  # when each customer's answer went

    async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests."""
        while True:
            first, *_ = await read_http(reader)
            now = time.monotonic()
            if now >= self.at:
                self.at, self.stall = float("inf"), (now, now + STALL)
            if now < self.stall[1]:
                await asyncio.sleep(self.stall[1] - now)
            self.wrote[first.split()[1].rpartition("/")[2]] = time.monotonic()
            writer.write(http(200, b"x"))


class Truth(unittest.IsolatedAsyncioTestCase):
    """Percentiles."""

    async def asyncSetUp(self) -> None:
        # unittest turns the loop's debugging on, which costs more than what is measured.
        asyncio.get_running_loop().set_debug(False)

    async def test_a_stall_of_two_seconds_is_told_as_it_was(self) -> None:
        """Guards against a generator that stops asking while the server stands still, and so hides the delay."""
        server = Stalling()
        await server.start()
        asked = [msgspec.structs.replace(line, customer=f"{number:016x}")
                 for number, line in enumerate(load.lines(load.times("poisson", 150.0, 5.0, 3), MIX, 3))]
        plan = load.Plan(server.address, "http", asked)
        worker = load.Worker(plan, begin := time.monotonic() + 0.1)
        server.at = begin + 1.0
        tally = await worker.run(asked)
        true = [(server.wrote[line.customer] - begin) * 1000 - line.at_ms for line in asked]
        found = tally.percentiles()
        for percent in (90.0, 99.0, 99.9):
            truth = float(np.percentile(true, percent, method="inverted_cdf"))
            self.assertGreater(truth, 100.0)
            self.assertLess(abs(found[percent] - truth), 0.02 * truth, (percent, found[percent], truth))
        self.assertEqual(tally.statuses["served"], len(asked))
        # The same server under a closed loop: one request meets the stall, and the 99th percentile says nothing.
        server.at = time.monotonic() + 0.2
        reader, writer = await asyncio.open_connection(*load.loopback(server.address))
        seen = []
        for line in asked:
            began = time.monotonic()
            writer.write(load.Http(2).request(line))
            await soon(read_http(reader))
            seen.append((time.monotonic() - began) * 1000)
            if time.monotonic() < server.at < float("inf"):
                await asyncio.sleep(0.005)
        writer.close()
        self.assertEqual(sum(ms > 500 for ms in seen), 1)
        self.assertLess(float(np.percentile(seen, 99)), 500.0)
        await server.stop()

    async def test_a_generator_that_cannot_keep_up_says_so(self) -> None:
        """Guards against figures of a run that measured the generator."""
        server = Stalling()
        await server.start()
        asked = load.lines(load.times("constant", 200.0, 1.0, 1), MIX, 1)
        worker = load.Worker(load.Plan(server.address, "http", asked), time.monotonic())

        async def hog() -> None:
            await asyncio.sleep(0.2)
            time.sleep(0.4)  # the process is kept from its work

        hogging = asyncio.create_task(hog())
        tally = await worker.run(asked)
        await hogging
        self.assertFalse(tally.valid)
        self.assertGreater(tally.percentiles()[90.0], 100.0, "counted from when they were meant to go")
        self.assertGreater(tally.late_p99, 100.0)
        await server.stop()

    async def test_what_breaks_is_told_by_cause(self) -> None:
        """Guards against failures that are counted as service, or not at all."""

        class Odd(StandIn):
            async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                for turn in range(1000):
                    first, *_ = await read_http(reader)
                    if "reject" in first:
                        return writer.transport.abort()
                    writer.write(http([200, 429, 503, 502][turn % 4], b"x"))

        server = Odd()
        await server.start()
        asked = load.lines(load.times("constant", 100.0, 1.0, 1), MIX, 1)
        tally = await load.Worker(load.Plan(server.address, "http", asked), time.monotonic()).run(asked)
        rejects = sum(line.klass == "reject" for line in asked)
        self.assertEqual(tally.statuses["failed connection"], rejects)
        self.assertEqual(sum(tally.statuses.values()), len(asked))
        self.assertGreater(tally.statuses["refused"], tally.statuses["failed 502"])
        await server.stop()

    async def test_several_processes_and_the_command(self) -> None:
        """Guards against parts of a run that are lost between processes."""
        server = Stalling()
        await server.start()
        done = await asyncio.to_thread(command, "load", server.address, "--rate", "60", "--seconds", "1.5",
                                       "--workers", "2", "--json", "--shape", "constant")
        self.assertIn('"sent": 90', done.stdout, done.stderr)
        self.assertIn('"served": 90', done.stdout)
        await server.stop()


class Schedules(unittest.TestCase):
    """Shapes, traces, addresses."""

    def test_shapes_ask_for_the_rate(self) -> None:
        """Guards against a shape that asks for more or less than was told."""
        for shape in ("poisson", "constant", "bursts", "ramp", "onoff"):
            made = load.times(shape, 200.0, 20.0, 5)
            self.assertEqual(made, sorted(made))
            self.assertLess(abs(len(made) / 4000 - 1), 0.06, shape)
        ramp = load.times("ramp", 200.0, 20.0, 5)
        self.assertLess(sum(at < 10_000 for at in ramp), len(ramp) * 0.3)
        self.assertEqual([at for at in load.times("onoff", 50.0, 4.0, 1) if 1000 <= at < 2000], [])

    def test_a_trace_comes_back_as_it_was(self) -> None:
        """Guards against a replay of something else."""
        asked = load.lines(load.times("bursts", 50.0, 4.0, 1), MIX, 1)
        self.assertEqual(load.read_trace(load.write_trace(asked)), asked)
        good = next(load.write_trace(asked[1:]))
        for bad in (b"{}", b"x", b'{"at_ms":"1"}', next(load.write_trace(asked[:1]))):
            with self.subTest(line=bad), self.assertRaisesRegex(ValueError, "line 2"):
                load.read_trace([good, bad])

    def test_only_loopback(self) -> None:
        """Guards against load on anybody else's server."""
        for address in ("10.0.0.1:80", "192.168.1.1:80", "8.8.8.8:53", "example.org:80", "[2001:db8::1]:80"):
            with self.subTest(address=address), self.assertRaises(ValueError):
                load.loopback(address)
        self.assertEqual(load.loopback("127.9.9.9:80"), ("127.9.9.9", 80))
        with tempfile.TemporaryDirectory() as folder, contextlib.suppress(FileNotFoundError):
            done = command("load", "10.0.0.1:80", "--record", str(Path(folder) / "t"))
            self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 1), done.stderr)
