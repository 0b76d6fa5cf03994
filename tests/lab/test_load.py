"""The load generator against a server with known delays, compared with a closed-loop client."""

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
from hallhitch.lab.load.schedule import ClassShare, RequestMix, arrival_times, make_requests
from hallhitch.lab.load.trace_format import read_trace, write_trace
from tests.cli.command_runner import run_command
from tests.stand_ins import StandIn, http, read_http

MIX = RequestMix(
    {"inspect": ClassShare(0.8, 4000, False), "reject": ClassShare(0.2, 1500, True)}, {"small-shop": 1.0}, 50, 64
)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time: the clock jumps to the next timer, so results do not depend on the machine."""

    def __init__(self) -> None:
        super().__init__(_VirtualTimeSelector(self))
        self.now = 0.0

    def time(self) -> float:
        """The virtual time in seconds."""
        return self.now


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._virtual_loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "deadlock: all tasks wait and no timer is scheduled"
        self._virtual_loop.now += timeout
        return super().select(0)


class StallingServer:
    """An in-memory server that answers in 1 ms, except during one stall, and records when it sent each response."""

    def __init__(self, loop: VirtualTimeLoop, stall: tuple[float, float]) -> None:
        self.loop, self.stall = loop, stall
        self.responded_at: dict[str, float] = {}  # when the response to each customer was sent
        self.connections, self.received = 0, b""

    async def connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to this server; host and port are ignored."""
        self.connections += 1
        reader = asyncio.StreamReader(loop=self.loop)
        return reader, cast(asyncio.StreamWriter, _InMemoryWriter(self, reader))

    def receive(self, request: bytes, reader: asyncio.StreamReader) -> None:
        """Receive a request and schedule its response."""
        self.received += request
        customer_name, now = request.split()[1].rpartition(b"/")[2].decode(), self.loop.now
        responds_at = self.stall[1] if self.stall[0] <= now < self.stall[1] else now + 0.001
        self.loop.call_at(responds_at, self._answer, customer_name, reader)

    def _answer(self, customer_name: str, reader: asyncio.StreamReader) -> None:
        self.responded_at[customer_name] = self.loop.now
        reader.feed_data(http(200, b"x"))


class _InMemoryWriter:
    def __init__(self, server: StallingServer, reader: asyncio.StreamReader) -> None:
        self._server, self._reader = server, reader

    def write(self, data: bytes) -> None:
        self._server.receive(data, self._reader)

    def close(self) -> None:
        """Do nothing: the connection has no socket."""


class Percentiles(unittest.TestCase):
    """Percentiles of latencies, in virtual time."""

    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        self.addCleanup(self.loop.close)

    def test_latencies_during_a_stall_match_the_true_delays(self) -> None:
        """The generator keeps sending during a stall, and its percentiles match the server's true delays."""
        server = StallingServer(self.loop, (1.0, 3.0))
        tenants = ("", "acme.example.org")
        requests = [
            msgspec.structs.replace(request, customer=f"{number:016x}", tenant=tenants[number % 2])
            for number, request in enumerate(make_requests(arrival_times("poisson", 150.0, 5.0, 3), MIX, 3))
        ]
        plan = LoadPlan("127.0.0.1:9", "http", requests)
        tally = self.loop.run_until_complete(LoadWorker(plan, 0.0, self.loop.time, server.connect).run(requests))
        true_latencies_ms = [server.responded_at[request.customer] * 1000 - request.at_ms for request in requests]
        percentiles_ms = tally.percentiles()
        for percentile in (50.0, 90.0, 99.0, 99.9):
            expected_ms = float(np.percentile(true_latencies_ms, percentile, method="inverted_cdf"))
            self.assertLess(
                abs(percentiles_ms[percentile] - expected_ms),
                0.02 * expected_ms,
                (percentile, percentiles_ms[percentile], expected_ms),
            )
        self.assertGreater(percentiles_ms[90.0], 1000.0)
        self.assertTrue(tally.is_valid)
        self.assertEqual(tally.statuses["served"], len(requests))
        self.assertEqual(tally.latencies["tenant acme.example.org"].get_total_count(), len(requests) // 2)
        self.assertIn(b"Host: acme.example.org\r\n", server.received)
        self.assertGreater(server.connections, 250, "all requests due during the stall were sent")

    def test_closed_loop_hides_the_stall(self) -> None:
        """A closed-loop client sees only one slow request in the same stall (coordinated omission)."""
        server = StallingServer(self.loop, (1.0, 3.0))

        async def send_sequentially() -> list[float]:
            reader, writer = await server.connect("", 0)
            latencies_ms = []
            for number in range(750):
                sent_at = self.loop.now
                writer.write(b"GET /inspect/%016x HTTP/1.1" % number)
                await read_http(reader)
                latencies_ms.append((self.loop.now - sent_at) * 1000)
                await asyncio.sleep(0.005)
            return latencies_ms

        latencies_ms = self.loop.run_until_complete(send_sequentially())
        self.assertEqual(sum(ms > 500 for ms in latencies_ms), 1)
        self.assertLess(float(np.percentile(latencies_ms, 99)), 10.0)

    def test_late_generator_makes_the_run_invalid(self) -> None:
        """A run with a late generator is invalid, and its latencies are measured from the due times."""
        server = StallingServer(self.loop, (9.0, 9.0))
        requests = make_requests(arrival_times("constant", 200.0, 1.0, 1), MIX, 1)
        worker = LoadWorker(LoadPlan("127.0.0.1:9", "http", requests), 0.0, self.loop.time, server.connect)

        def block_loop() -> None:
            self.loop.now += 0.4  # as if the process got no CPU time for 0.4 s

        self.loop.call_at(0.2, block_loop)
        tally = self.loop.run_until_complete(worker.run(requests))
        self.assertFalse(tally.is_valid)
        self.assertGreater(tally.percentiles()[90.0], 100.0, "latencies are measured from the due times")
        self.assertGreater(tally.p99_send_delay_ms, 100.0)


class PromptServer(StandIn):
    """A server on a real socket that answers each request immediately."""

    async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests."""
        while True:
            await read_http(reader)
            writer.write(http(200, b"x"))


class SocketFailures(unittest.IsolatedAsyncioTestCase):
    """Failures and worker processes, with real sockets."""

    async def asyncSetUp(self) -> None:
        # unittest enables the debug mode of the event loop, whose cost exceeds the measured times.
        asyncio.get_running_loop().set_debug(False)

    async def test_failures_are_tallied_by_cause(self) -> None:
        """Aborted connections, rejections and errors are tallied as separate statuses."""

        class FailingServer(StandIn):
            async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                for index in range(1000):
                    request_line, *_ = await read_http(reader)
                    if "reject" in request_line:
                        return writer.transport.abort()
                    writer.write(http([200, 429, 503, 502][index % 4], b"x"))
                return None

        server = FailingServer()
        await server.start()
        requests = make_requests(arrival_times("constant", 100.0, 1.0, 1), MIX, 1)
        tally = await LoadWorker(LoadPlan(server.address, "http", requests), time.monotonic()).run(requests)
        aborted_count = sum(request.klass == "reject" for request in requests)
        self.assertEqual(tally.statuses["failed connection"], aborted_count)
        self.assertEqual(sum(tally.statuses.values()), len(requests))
        self.assertGreater(tally.statuses["refused"], tally.statuses["failed 502"])
        await server.stop()

    async def test_command_with_several_workers(self) -> None:
        """The command adds up the tallies of its workers."""
        server = PromptServer()
        await server.start()
        completed = await asyncio.to_thread(
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
        self.assertIn('"sent": 90', completed.stdout, completed.stderr)
        self.assertIn('"served": 90', completed.stdout)
        await server.stop()


class Schedules(unittest.TestCase):
    """Arrival shapes, traces and addresses."""

    def test_shapes_keep_the_mean_rate(self) -> None:
        """Each shape keeps the mean rate and varies the rate over time as it should."""
        for shape in ("poisson", "constant", "bursts", "ramp", "onoff"):
            times = arrival_times(shape, 200.0, 20.0, 5)
            self.assertEqual(times, sorted(times))
            self.assertLess(abs(len(times) / 4000 - 1), 0.06, shape)
        ramp = arrival_times("ramp", 200.0, 20.0, 5)
        self.assertLess(sum(at < 10_000 for at in ramp), len(ramp) * 0.3)
        self.assertEqual([at for at in arrival_times("onoff", 50.0, 4.0, 1) if 1000 <= at < 2000], [])

    def test_written_trace_is_read_back(self) -> None:
        """A trace that is written and read again is equal; an error names the invalid line."""
        requests = make_requests(arrival_times("bursts", 50.0, 4.0, 1), MIX, 1)
        self.assertEqual(read_trace(write_trace(requests)), requests)
        valid_line = next(write_trace(requests[1:]))
        for invalid_line in (b"{}", b"x", b'{"at_ms":"1"}', next(write_trace(requests[:1]))):
            with self.subTest(line=invalid_line), self.assertRaisesRegex(ValueError, "line 2"):
                read_trace([valid_line, invalid_line])

    def test_only_loopback_addresses_are_accepted(self) -> None:
        """Addresses that are not loopback addresses are rejected."""
        for address in ("10.0.0.1:80", "192.168.1.1:80", "8.8.8.8:53", "example.org:80", "[2001:db8::1]:80"):
            with self.subTest(address=address), self.assertRaises(ValueError):
                parse_loopback_address(address)
        self.assertEqual(parse_loopback_address("127.9.9.9:80"), ("127.9.9.9", 80))
        with tempfile.TemporaryDirectory() as folder, contextlib.suppress(FileNotFoundError):
            completed = run_command("load", "10.0.0.1:80", "--record", str(Path(folder) / "trace"))
            self.assertEqual((completed.returncode, len(completed.stderr.splitlines())), (2, 1), completed.stderr)
