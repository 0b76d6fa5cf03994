"""Traces that are recorded before a gateway, or imported from logs and tables."""

from __future__ import annotations

import asyncio
import io
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.lab.load.generator import LoadPlan, LoadWorker
from hallhitch.lab.load.protocols import HttpProtocol, parse_loopback_address
from hallhitch.lab.load.schedule import MixedClass, RequestMix, arrival_times, make_requests
from hallhitch.lab.load.trace_format import TraceRequest, read_trace, write_trace
from hallhitch.lab.load.trace_import import AccessLogDefaults, import_access_log, import_csv
from hallhitch.lab.load.trace_recorder import TraceRecorder
from tests.cli.command_runner import run_command
from tests.stand_ins import StandIn, http, read_http, soon

LOG = """127.0.0.1 - - [01/Dec/2026:10:00:05 +0200] "GET /inspect/00000000000000aB HTTP/1.1" 200 12
127.0.0.1 - bob [01/Dec/2026:10:00:05 +0200] "POST /reject/part/00000000000000ac?x=1 HTTP/1.1" 429 0 "-" "agent 1.0"
127.0.0.1 - - [01/Dec/2026:10:00:05 +0200] "GET /_health HTTP/1.1" 200 2

127.0.0.1 - - [01/Dec/2026:08:00:07 +0000] "GET /inspect/00000000000000ab HTTP/1.1" 200 12
"""


class Echo(StandIn):
    """A gateway that answers each request by its path."""

    def __init__(self) -> None:
        super().__init__()
        self.asked: list[bytes] = []

    async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests."""
        while True:
            first, *_ = await read_http(reader)
            self.asked.append(first.encode())
            writer.write(http(200, first.split()[1].encode()))


class RecordedTraces(unittest.IsolatedAsyncioTestCase):
    """The recording proxy."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.gateway, self.file = Echo(), io.BytesIO()
        await self.gateway.start()
        self.recorder = TraceRecorder(self.gateway.address, self.file)
        await self.recorder.start("127.0.0.1:0")

    async def asyncTearDown(self) -> None:
        await self.recorder.stop()
        await self.gateway.stop()

    def trace(self) -> list[TraceRequest]:
        """The recorded trace."""
        return read_trace(self.file.getvalue().splitlines())

    async def test_all_requests_are_recorded_and_served(self) -> None:
        """The recorded requests are those sent, and all are served."""
        mix = RequestMix(
            {"inspect": MixedClass(0.6, 4000, False), "reject": MixedClass(0.4, 1500, True)},
            {"a": 0.5, "b": 0.5},
            9,
            70,
        )
        asked = make_requests(arrival_times("poisson", 100.0, 1.0, 2), mix, 2)
        tally = await LoadWorker(LoadPlan(self.recorder.address, "http", asked), 0.0).run(asked)
        self.assertEqual(tally.statuses["served"], len(asked))
        found = self.trace()
        self.assertEqual(
            sorted((x.klass, x.customer, x.plan, x.units, x.deadline_ms, x.body) for x in found),
            sorted((x.klass, x.customer, x.plan, x.units, x.deadline_ms, x.body) for x in asked),
        )
        self.assertEqual(
            (self.recorder.recorded, self.recorder.skipped, self.recorder.unreadable_connections), (len(asked), 0, 0)
        )

    async def test_split_and_pipelined_requests_and_other_bytes(self) -> None:
        """Requests in pieces and pipelined ones are recorded; other bytes pass through and are counted."""
        reader, writer = await asyncio.open_connection(*parse_loopback_address(self.recorder.address))
        line = TraceRequest(0.0, "inspect", f"{7:016x}", "a")
        data = HttpProtocol(1).encode(line) * 2 + b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n"
        for byte in data:
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        for _ in range(3):
            await soon(read_http(reader))
        self.assertEqual([(x.klass, x.customer) for x in self.trace()], [("inspect", line.customer)] * 2)
        self.assertEqual(self.recorder.skipped, 1)
        other, odd = await asyncio.open_connection(*parse_loopback_address(self.recorder.address))
        odd.write(b"*1\r\n$4\r\nPING\r\n\r\n\r\n")
        await soon(other.read())
        self.assertEqual(self.recorder.unreadable_connections, 1)
        odd.close()
        writer.close()

    async def test_record_command(self) -> None:
        """The command ends after its time, and reports a wrong address in one line."""
        with tempfile.TemporaryDirectory() as folder:
            out = Path(folder) / "t"
            done = await asyncio.to_thread(
                run_command,
                "trace",
                "record",
                str(out),
                "--listen",
                "127.0.0.1:0",
                "--to",
                self.gateway.address,
                "--seconds",
                "0.2",
            )
            self.assertEqual((done.returncode, out.read_bytes()), (0, b""), done.stderr)
            self.assertIn("0 requests", done.stdout)
        done = await asyncio.to_thread(
            run_command, "trace", "record", "/dev/null", "--listen", "10.0.0.1:80", "--to", "x"
        )
        self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 1), done.stderr)


class ImportedTraces(unittest.TestCase):
    """Imports from logs and tables."""

    def test_access_log(self) -> None:
        """Times of all zones are converted, and other requests are left out."""
        imported = import_access_log(LOG.splitlines(), AccessLogDefaults("small-shop", 3000, 50))
        found = imported.requests
        self.assertEqual(
            [(x.at_ms, x.klass, x.customer, x.plan, x.deadline_ms, x.body) for x in found],
            [
                (0.0, "inspect", "00000000000000ab", "small-shop", 3000, 0),
                (500.0, "reject", "00000000000000ac", "small-shop", 3000, 50),
                (2000.0, "inspect", "00000000000000ab", "small-shop", 3000, 0),
            ],
        )
        self.assertEqual(imported.skipped, 1)
        self.assertEqual(read_trace(write_trace(found)), found)
        for bad in ("nothing", LOG.splitlines()[0].replace("Dec", "Foo"), '1 - - [x] "GET / HTTP/1.1" 200 1'):
            with self.subTest(line=bad), self.assertRaisesRegex(ValueError, "line 2"):
                import_access_log([LOG.splitlines()[0], bad], AccessLogDefaults("p", 1, 1))

    def test_csv_table(self) -> None:
        """Columns are found by name and rows sorted by time; a wrong line is named."""
        rows = [
            "time,class,customer,plan,units,body",
            "2026-12-01T10:00:01.250+00:00,reject,b,p,2,64",
            "2026-12-01T10:00:01+00:00,inspect,a,p,,",
        ]
        found = import_csv(rows, 900)
        self.assertEqual(
            [(x.at_ms, x.klass, x.customer, x.units, x.deadline_ms, x.body) for x in found],
            [(0.0, "inspect", "a", 1.0, 900, 0), (250.0, "reject", "b", 2.0, 900, 64)],
        )
        for bad, where in (
            (["class,customer,plan"], "line 1"),
            ([], "line 1"),
            (["at_ms,class,customer,plan,odd"], "line 1"),
            ([*rows, "x,inspect,a,p,1,1"], "line 4"),
            ([*rows, "2026-12-01T10:00:01,inspect"], "line 4"),
            ([*rows, rows[1] + ",9"], "line 4"),
            ([rows[0], rows[2].replace(",,", ",nine,")], "line 2"),
        ):
            with self.subTest(rows=bad), self.assertRaisesRegex(ValueError, where):
                import_csv(bad, 900)

    @given(st.lists(st.tuples(st.floats(0, 1e6), st.sampled_from(["x", "y"]), st.integers(0, 99)), max_size=20))
    def test_any_csv_table_gives_a_readable_trace(self, rows: list[tuple[float, str, int]]) -> None:
        """Whatever the rows, the trace survives encoding."""
        text = ["at_ms,class,customer,plan", *(f"{at!r},{klass},{who:016x},p" for at, klass, who in rows)]
        found = import_csv(text, 100)
        self.assertEqual(len(found), len(rows))
        self.assertEqual(read_trace(write_trace(found)), found)

    def test_import_command(self) -> None:
        """The command counts the requests, and reports wrong input in one line."""
        with tempfile.TemporaryDirectory() as folder:
            log, out = Path(folder) / "log", Path(folder) / "out"
            log.write_text(LOG)
            done = run_command("trace", "import", str(log), str(out), "--form", "access-log", "--plan", "p")
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertIn("3 requests; 1 left out", done.stdout)
            self.assertIn("3 requests in 2.0 s, 2 customers", run_command("trace", "inspect", str(out)).stdout)
            for arguments in (("--form", "access-log"), ("--form", "csv")):
                done = run_command("trace", "import", str(log), str(out), *arguments)
                self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 1), done.stderr)
