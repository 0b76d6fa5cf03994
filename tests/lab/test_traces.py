"""Traces recorded in front of a gateway, or imported from access logs and CSV tables."""

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
from hallhitch.lab.load.schedule import ClassShare, RequestMix, arrival_times, make_requests
from hallhitch.lab.load.trace_format import TraceRequest, read_trace, write_trace
from hallhitch.lab.load.trace_import import AccessLogDefaults, import_access_log, import_csv
from hallhitch.lab.load.trace_recorder import TraceRecorder
from tests.cli.command_runner import run_command
from tests.stand_ins import StandIn, http, read_http, soon

ACCESS_LOG = """127.0.0.1 - - [01/Dec/2026:10:00:05 +0200] "GET /inspect/00000000000000aB HTTP/1.1" 200 12
127.0.0.1 - bob [01/Dec/2026:10:00:05 +0200] "POST /reject/part/00000000000000ac?x=1 HTTP/1.1" 429 0 "-" "agent 1.0"
127.0.0.1 - - [01/Dec/2026:10:00:05 +0200] "GET /_health HTTP/1.1" 200 2

127.0.0.1 - - [01/Dec/2026:08:00:07 +0000] "GET /inspect/00000000000000ab HTTP/1.1" 200 12
"""


class PathEchoServer(StandIn):
    """A stand-in for a gateway that returns each request's path in the response."""

    def __init__(self) -> None:
        super().__init__()
        self.request_lines: list[bytes] = []

    async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests."""
        while True:
            request_line, *_ = await read_http(reader)
            self.request_lines.append(request_line.encode())
            writer.write(http(200, request_line.split()[1].encode()))


class RecordedTraces(unittest.IsolatedAsyncioTestCase):
    """The recording proxy."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.gateway, self.file = PathEchoServer(), io.BytesIO()
        await self.gateway.start()
        self.recorder = TraceRecorder(self.gateway.address, self.file)
        await self.recorder.start("127.0.0.1:0")

    async def asyncTearDown(self) -> None:
        await self.recorder.stop()
        await self.gateway.stop()

    def trace(self) -> list[TraceRequest]:
        """Read the recorded trace."""
        return read_trace(self.file.getvalue().splitlines())

    async def test_all_requests_are_recorded_and_served(self) -> None:
        """The trace holds exactly the requests sent, and all of them are served."""
        mix = RequestMix(
            {"inspect": ClassShare(0.6, 4000, False), "reject": ClassShare(0.4, 1500, True)},
            {"a": 0.5, "b": 0.5},
            9,
            70,
        )
        sent_requests = make_requests(arrival_times("poisson", 100.0, 1.0, 2), mix, 2)
        tally = await LoadWorker(LoadPlan(self.recorder.address, "http", sent_requests), 0.0).run(sent_requests)
        self.assertEqual(tally.statuses["served"], len(sent_requests))
        requests = self.trace()
        self.assertEqual(
            sorted(
                (request.klass, request.customer, request.plan, request.units, request.deadline_ms, request.body)
                for request in requests
            ),
            sorted(
                (request.klass, request.customer, request.plan, request.units, request.deadline_ms, request.body)
                for request in sent_requests
            ),
        )
        self.assertEqual(
            (self.recorder.recorded, self.recorder.skipped, self.recorder.unreadable_connections),
            (len(sent_requests), 0, 0),
        )

    async def test_split_and_pipelined_requests_and_other_bytes(self) -> None:
        """Split and pipelined requests are recorded; other bytes are relayed, and their connections are counted."""
        reader, writer = await asyncio.open_connection(*parse_loopback_address(self.recorder.address))
        request = TraceRequest(0.0, "inspect", f"{7:016x}", "a")
        data = HttpProtocol(1).encode(request) * 2 + b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n"
        for byte in data:
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        for _ in range(3):
            await soon(read_http(reader))
        self.assertEqual(
            [(recorded.klass, recorded.customer) for recorded in self.trace()], [("inspect", request.customer)] * 2
        )
        self.assertEqual(self.recorder.skipped, 1)
        resp_reader, resp_writer = await asyncio.open_connection(*parse_loopback_address(self.recorder.address))
        resp_writer.write(b"*1\r\n$4\r\nPING\r\n\r\n\r\n")
        await soon(resp_reader.read())
        self.assertEqual(self.recorder.unreadable_connections, 1)
        resp_writer.close()
        writer.close()

    async def test_record_command(self) -> None:
        """The command ends after the given seconds, and reports an invalid address in one line."""
        with tempfile.TemporaryDirectory() as folder:
            trace_path = Path(folder) / "trace"
            completed = await asyncio.to_thread(
                run_command,
                "trace",
                "record",
                str(trace_path),
                "--listen",
                "127.0.0.1:0",
                "--to",
                self.gateway.address,
                "--seconds",
                "0.2",
            )
            self.assertEqual((completed.returncode, trace_path.read_bytes()), (0, b""), completed.stderr)
            self.assertIn("0 requests", completed.stdout)
        completed = await asyncio.to_thread(
            run_command, "trace", "record", "/dev/null", "--listen", "10.0.0.1:80", "--to", "x"
        )
        self.assertEqual((completed.returncode, len(completed.stderr.splitlines())), (2, 1), completed.stderr)


class ImportedTraces(unittest.TestCase):
    """Import from access logs and CSV tables."""

    def test_access_log(self) -> None:
        """Time zones are converted, requests without class and customer are skipped, and an error names the line."""
        imported = import_access_log(ACCESS_LOG.splitlines(), AccessLogDefaults("small-shop", 3000, 50))
        requests = imported.requests
        self.assertEqual(
            [
                (request.at_ms, request.klass, request.customer, request.plan, request.deadline_ms, request.body)
                for request in requests
            ],
            [
                (0.0, "inspect", "00000000000000ab", "small-shop", 3000, 0),
                (500.0, "reject", "00000000000000ac", "small-shop", 3000, 50),
                (2000.0, "inspect", "00000000000000ab", "small-shop", 3000, 0),
            ],
        )
        self.assertEqual(imported.skipped, 1)
        self.assertEqual(read_trace(write_trace(requests)), requests)
        for invalid_line in (
            "nothing",
            ACCESS_LOG.splitlines()[0].replace("Dec", "Foo"),
            '1 - - [x] "GET / HTTP/1.1" 200 1',
        ):
            with self.subTest(line=invalid_line), self.assertRaisesRegex(ValueError, "line 2"):
                import_access_log([ACCESS_LOG.splitlines()[0], invalid_line], AccessLogDefaults("p", 1, 1))

    def test_csv_table(self) -> None:
        """Columns are matched by name and rows sorted by time; an error names the invalid line."""
        rows = [
            "time,class,customer,plan,units,body",
            "2026-12-01T10:00:01.250+00:00,reject,b,p,2,64",
            "2026-12-01T10:00:01+00:00,inspect,a,p,,",
        ]
        requests = import_csv(rows, 900)
        self.assertEqual(
            [
                (request.at_ms, request.klass, request.customer, request.units, request.deadline_ms, request.body)
                for request in requests
            ],
            [(0.0, "inspect", "a", 1.0, 900, 0), (250.0, "reject", "b", 2.0, 900, 64)],
        )
        for invalid_rows, expected_line in (
            (["class,customer,plan"], "line 1"),
            ([], "line 1"),
            (["at_ms,class,customer,plan,odd"], "line 1"),
            ([*rows, "x,inspect,a,p,1,1"], "line 4"),
            ([*rows, "2026-12-01T10:00:01,inspect"], "line 4"),
            ([*rows, rows[1] + ",9"], "line 4"),
            ([rows[0], rows[2].replace(",,", ",nine,")], "line 2"),
        ):
            with self.subTest(rows=invalid_rows), self.assertRaisesRegex(ValueError, expected_line):
                import_csv(invalid_rows, 900)

    @given(st.lists(st.tuples(st.floats(0, 1e6), st.sampled_from(["x", "y"]), st.integers(0, 99)), max_size=20))
    def test_any_csv_table_gives_a_readable_trace(self, rows: list[tuple[float, str, int]]) -> None:
        """A trace imported from any valid table is equal after it is written and read again."""
        lines = [
            "at_ms,class,customer,plan",
            *(f"{at_ms!r},{klass},{customer:016x},p" for at_ms, klass, customer in rows),
        ]
        requests = import_csv(lines, 100)
        self.assertEqual(len(requests), len(rows))
        self.assertEqual(read_trace(write_trace(requests)), requests)

    def test_import_command(self) -> None:
        """The command prints the number of requests, and reports invalid input in one line."""
        with tempfile.TemporaryDirectory() as folder:
            log_path, trace_path = Path(folder) / "access.log", Path(folder) / "trace"
            log_path.write_text(ACCESS_LOG)
            completed = run_command(
                "trace", "import", str(log_path), str(trace_path), "--form", "access-log", "--plan", "p"
            )
            self.assertEqual(completed.returncode, 0, completed.stderr)
            self.assertIn("3 requests; 1 left out", completed.stdout)
            self.assertIn("3 requests in 2.0 s, 2 customers", run_command("trace", "inspect", str(trace_path)).stdout)
            for arguments in (("--form", "access-log"), ("--form", "csv")):
                completed = run_command("trace", "import", str(log_path), str(trace_path), *arguments)
                self.assertEqual((completed.returncode, len(completed.stderr.splitlines())), (2, 1), completed.stderr)
