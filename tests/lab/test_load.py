"""The load generator against a server whose true delays are known, and a closed loop beside it."""

from __future__ import annotations

import asyncio
import contextlib
import selectors
import tempfile
import time
import unittest
from pathlib import Path
from typing import cast

import msgspec
import numpy as np

from hallhitch.lab.load.generator import LoadPlan, LoadWorker
from hallhitch.lab.load.protocols import parse_loopback_address
from hallhitch.lab.load.schedule import MixedClass, RequestMix, arrival_times, make_requests
from hallhitch.lab.load.trace_format import read_trace, write_trace
from tests.cli.command_runner import run_command
from tests.stand_ins import StandIn, http, read_http

MIX = RequestMix(
    {"inspect": MixedClass(0.8, 4000, False), "reject": MixedClass(0.2, 1500, True)}, {"small-shop": 1.0}, 50, 64
)


class JumpingLoop(asyncio.SelectorEventLoop):
    """A loop whose clock jumps to the next timer: what it runs takes no time, so no verdict hangs on the machine."""

    def __init__(self) -> None:
        super().__init__(_Jumps(self))
        self.now = 0.0

    def time(self) -> float:
        """Seconds."""
        return self.now


class _Jumps(selectors.SelectSelector):
    def __init__(self, loop: JumpingLoop) -> None:
        super().__init__()
        self._jumping = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "everything waits and nothing is to come"
        self._jumping.now += timeout
        return super().select(0)


class StallingServer:
    """A server in memory that answers in 1 ms, but for one stall; knows each true delay."""

    def __init__(self, loop: JumpingLoop, stall: tuple[float, float]) -> None:
        self.loop, self.stall = loop, stall
        self.wrote: dict[str, float] = {}  # when each customer's answer went
        self.connections, self.heard = 0, b""

    async def connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A connection of its own."""
        self.connections += 1
        reader = asyncio.StreamReader(loop=self.loop)
        return reader, cast(asyncio.StreamWriter, _Side(self, reader))

    def take(self, request: bytes, reader: asyncio.StreamReader) -> None:
        """One request."""
        self.heard += request
        who, now = request.split()[1].rpartition(b"/")[2].decode(), self.loop.now
        ends = self.stall[1] if self.stall[0] <= now < self.stall[1] else now + 0.001
        self.loop.call_at(ends, self._answer, who, reader)

    def _answer(self, who: str, reader: asyncio.StreamReader) -> None:
        self.wrote[who] = self.loop.now
        reader.feed_data(http(200, b"x"))


class _Side:
    def __init__(self, server: StallingServer, reader: asyncio.StreamReader) -> None:
        self._server, self._reader = server, reader

    def write(self, data: bytes) -> None:
        self._server.take(data, self._reader)

    def close(self) -> None:
        """Nothing to close."""


class Percentiles(unittest.TestCase):
    """Percentiles, on a clock that jumps."""

    def setUp(self) -> None:
        self.loop = JumpingLoop()
        self.addCleanup(self.loop.close)

    def test_stall_of_two_seconds_is_measured_as_it_was(self) -> None:
        """The generator keeps sending during a stall, and its percentiles are those of the true delays."""
        server = StallingServer(self.loop, (1.0, 3.0))
        hosts = ("", "acme.example.org")
        asked = [
            msgspec.structs.replace(line, customer=f"{number:016x}", tenant=hosts[number % 2])
            for number, line in enumerate(make_requests(arrival_times("poisson", 150.0, 5.0, 3), MIX, 3))
        ]
        plan = LoadPlan("127.0.0.1:9", "http", asked)
        tally = self.loop.run_until_complete(LoadWorker(plan, 0.0, self.loop.time, server.connect).run(asked))
        true = [server.wrote[line.customer] * 1000 - line.at_ms for line in asked]
        found = tally.percentiles()
        for percent in (50.0, 90.0, 99.0, 99.9):
            truth = float(np.percentile(true, percent, method="inverted_cdf"))
            self.assertLess(abs(found[percent] - truth), 0.02 * truth, (percent, found[percent], truth))
        self.assertGreater(found[90.0], 1000.0)
        self.assertTrue(tally.is_valid)
        self.assertEqual(tally.statuses["served"], len(asked))
        self.assertEqual(tally.latencies["tenant acme.example.org"].get_total_count(), len(asked) // 2)
        self.assertIn(b"Host: acme.example.org\r\n", server.heard)
        self.assertGreater(server.connections, 250, "each request of the stall has gone")

    def test_closed_loop_hides_the_stall(self) -> None:
        """A closed loop sees one slow request of the same stall (coordinated omission)."""
        server = StallingServer(self.loop, (1.0, 3.0))

        async def ask() -> list[float]:
            reader, writer = await server.connect("", 0)
            seen = []
            for number in range(750):
                began = self.loop.now
                writer.write(b"GET /inspect/%016x HTTP/1.1" % number)
                await read_http(reader)
                seen.append((self.loop.now - began) * 1000)
                await asyncio.sleep(0.005)
            return seen

        seen = self.loop.run_until_complete(ask())
        self.assertEqual(sum(ms > 500 for ms in seen), 1)
        self.assertLess(float(np.percentile(seen, 99)), 10.0)

    def test_late_generator_makes_the_run_invalid(self) -> None:
        """A run whose generator was late is invalid, and its latencies count from the due times."""
        server = StallingServer(self.loop, (9.0, 9.0))
        asked = make_requests(arrival_times("constant", 200.0, 1.0, 1), MIX, 1)
        worker = LoadWorker(LoadPlan("127.0.0.1:9", "http", asked), 0.0, self.loop.time, server.connect)

        def hog() -> None:
            self.loop.now += 0.4  # the process is kept from its work

        self.loop.call_at(0.2, hog)
        tally = self.loop.run_until_complete(worker.run(asked))
        self.assertFalse(tally.is_valid)
        self.assertGreater(tally.percentiles()[90.0], 100.0, "counted from when they were meant to go")
        self.assertGreater(tally.p99_send_delay_ms, 100.0)


class PromptServer(StandIn):
    """Answers each request at once, on a real socket."""

    async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests."""
        while True:
            await read_http(reader)
            writer.write(http(200, b"x"))


class SocketFailures(unittest.IsolatedAsyncioTestCase):
    """Failures on real sockets."""

    async def asyncSetUp(self) -> None:
        # unittest turns the loop's debugging on, which costs more than what is measured.
        asyncio.get_running_loop().set_debug(False)

    async def test_failures_are_tallied_by_cause(self) -> None:
        """Aborted connections, rejections and errors have statuses of their own."""

        class FailingServer(StandIn):
            async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                for turn in range(1000):
                    first, *_ = await read_http(reader)
                    if "reject" in first:
                        return writer.transport.abort()
                    writer.write(http([200, 429, 503, 502][turn % 4], b"x"))
                return None

        server = FailingServer()
        await server.start()
        asked = make_requests(arrival_times("constant", 100.0, 1.0, 1), MIX, 1)
        tally = await LoadWorker(LoadPlan(server.address, "http", asked), time.monotonic()).run(asked)
        rejects = sum(line.klass == "reject" for line in asked)
        self.assertEqual(tally.statuses["failed connection"], rejects)
        self.assertEqual(sum(tally.statuses.values()), len(asked))
        self.assertGreater(tally.statuses["refused"], tally.statuses["failed 502"])
        await server.stop()

    async def test_command_with_several_workers(self) -> None:
        """The tallies of all workers add up."""
        server = PromptServer()
        await server.start()
        done = await asyncio.to_thread(
            run_command,
            "load",
            server.address,
            "--rate",
            "60",
            "--seconds",
            "1.5",
            "--workers",
            "2",
            "--json",
            "--shape",
            "constant",
        )
        self.assertIn('"sent": 90', done.stdout, done.stderr)
        self.assertIn('"served": 90', done.stdout)
        await server.stop()


class Schedules(unittest.TestCase):
    """Shapes, traces, addresses."""

    def test_shapes_keep_the_mean_rate(self) -> None:
        """Each shape has the mean rate, and its own course."""
        for shape in ("poisson", "constant", "bursts", "ramp", "onoff"):
            made = arrival_times(shape, 200.0, 20.0, 5)
            self.assertEqual(made, sorted(made))
            self.assertLess(abs(len(made) / 4000 - 1), 0.06, shape)
        ramp = arrival_times("ramp", 200.0, 20.0, 5)
        self.assertLess(sum(at < 10_000 for at in ramp), len(ramp) * 0.3)
        self.assertEqual([at for at in arrival_times("onoff", 50.0, 4.0, 1) if 1000 <= at < 2000], [])

    def test_trace_survives_encoding(self) -> None:
        """A trace read from its lines equals the one written; a wrong line is named."""
        asked = make_requests(arrival_times("bursts", 50.0, 4.0, 1), MIX, 1)
        self.assertEqual(read_trace(write_trace(asked)), asked)
        good = next(write_trace(asked[1:]))
        for bad in (b"{}", b"x", b'{"at_ms":"1"}', next(write_trace(asked[:1]))):
            with self.subTest(line=bad), self.assertRaisesRegex(ValueError, "line 2"):
                read_trace([good, bad])

    def test_only_loopback_addresses_are_accepted(self) -> None:
        """Addresses of other networks are errors."""
        for address in ("10.0.0.1:80", "192.168.1.1:80", "8.8.8.8:53", "example.org:80", "[2001:db8::1]:80"):
            with self.subTest(address=address), self.assertRaises(ValueError):
                parse_loopback_address(address)
        self.assertEqual(parse_loopback_address("127.9.9.9:80"), ("127.9.9.9", 80))
        with tempfile.TemporaryDirectory() as folder, contextlib.suppress(FileNotFoundError):
            done = run_command("load", "10.0.0.1:80", "--record", str(Path(folder) / "t"))
            self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 1), done.stderr)
