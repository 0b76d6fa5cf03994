"""Where traces come from: a recording pass-through before a gateway, access logs, and tables of other tools."""

from __future__ import annotations

import asyncio
import contextlib
import csv
import re
import time
from collections.abc import Iterable
from datetime import datetime
from typing import IO

import msgspec

from hallhitch.lab.load import TraceLine, loopback
from hallhitch.net.http import Malformed, Message, RequestReader

# The common and the combined log format, as most servers write them: host, two names, time, request line, status, size.
ACCESS = re.compile(r'\S+ \S+ \S+ \[([^\]]+)\] "([A-Z]+) (\S+)(?: HTTP/[\d.]+)?" \d{3} \S+')
ACCESS_TIME = "%d/%b/%Y:%H:%M:%S %z"
PATH = re.compile(r"/([^/?#]+)/(?:[^?#]*/)?([0-9a-fA-F]{16})(?:[?#].*)?")  # the class first, the customer last
NEEDED = {"class", "customer", "plan"}
OPTIONAL = {"at_ms", "time", "units", "deadline_ms", "body", "tenant"}


def from_access_log(lines: Iterable[str], plan: str, deadline_ms: int, body: int) -> tuple[list[TraceLine], int]:
    """A trace from an access log, and how many requests were left out, as they name no class and customer.

    Such a log knows seconds only: the requests of one second are spread evenly over it, in their order. What it does
    not know at all is told: plan, deadline, and the size of a POST's body. ValueError names a line that is none.
    """
    seconds: dict[int, list[tuple[str, str, str]]] = {}
    left = 0
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        found = ACCESS.match(line)
        try:
            if found is None:
                raise ValueError("no line of an access log")
            second = int(datetime.strptime(found[1], ACCESS_TIME).timestamp())
        except ValueError as error:
            raise ValueError(f"line {number}: {error}") from error
        path = PATH.fullmatch(found[3])
        if path is None or found[2] not in ("GET", "POST"):
            left += 1
            continue
        seconds.setdefault(second, []).append((found[2], path[1], path[2].lower()))
    made = []
    start = min(seconds, default=0)
    for second, asked in sorted(seconds.items()):
        for place, (method, klass, customer) in enumerate(asked):
            at = (second - start) * 1000 + 1000 * place / len(asked)
            made.append(TraceLine(at, klass, customer, plan, 1.0, deadline_ms, body if method == "POST" else 0))
    return made, left


def from_csv(lines: Iterable[str], deadline_ms: int) -> list[TraceLine]:
    """A trace from a table with a header: class, customer, plan, `at_ms` or `time` (ISO 8601), and if they are known
    units, deadline_ms, body and tenant (a host name). Rows may come in any order. ValueError names the line."""
    table = csv.DictReader(lines)
    columns = set(table.fieldnames or ())
    if not columns >= NEEDED or not columns <= NEEDED | OPTIONAL or len(columns & {"at_ms", "time"}) != 1:
        raise ValueError(
            f"line 1: the header needs {', '.join(sorted(NEEDED))} and one of at_ms and time; it may have "
            f"units, deadline_ms, body and tenant; found {', '.join(sorted(columns)) or 'nothing'}"
        )
    made = []
    for row in table:
        try:
            if None in row or None in row.values():
                raise ValueError("another number of columns than the header")
            at = float(row["at_ms"]) if "at_ms" in columns else datetime.fromisoformat(row["time"]).timestamp() * 1000
            fields = {
                "at_ms": at,
                "class": row["class"],
                "customer": row["customer"],
                "plan": row["plan"],
                "units": float(row.get("units") or 1),
                "body": int(row.get("body") or 0),
                "deadline_ms": int(row.get("deadline_ms") or deadline_ms),
                "tenant": row.get("tenant") or "",
            }
            made.append(msgspec.convert(fields, TraceLine))
        except ValueError as error:
            raise ValueError(f"line {table.line_num}: {error}") from error
    made.sort(key=lambda line: line.at_ms)
    return [msgspec.structs.replace(line, at_ms=line.at_ms - made[0].at_ms) for line in made]


def line_of(request: Message, at_ms: float) -> TraceLine | None:
    """The trace's line of a request on the platform's protocol; None for one that names no class and customer."""
    path = PATH.fullmatch(request.target.decode("latin-1"))
    head = request.headers
    if path is None or b"x-contract" not in head:
        return None
    metering = dict(part.strip().partition(b"=")[::2] for part in head.get(b"x-metering", b"").split(b","))
    try:
        return TraceLine(
            at_ms,
            path[1],
            path[2].lower(),
            head[b"x-contract"].decode("latin-1"),
            float(metering.get(b"units", b"1")),
            int(head[b"req-deadline-ms"]),
            len(request.body),
        )
    except (KeyError, ValueError):
        return None


class Recorder:
    """A pass-through on loopback before a gateway: bytes go both ways as they come, and each request is written down.

    What is recorded is what was asked and when it had come whole, never an answer. A connection whose bytes are no
    requests is passed on all the same and counted in `unread`; requests that name no class and customer in `left`.
    """

    def __init__(self, to: str, out: IO[bytes]) -> None:
        self._to, self._out = loopback(to), out
        self._began: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.recorded = self.left = self.unread = 0
        self.address = ""

    async def start(self, address: str) -> None:
        """Listen; OSError if the address cannot be had."""
        host, port = loopback(address)
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Listen no more, break what is open, and have all of the trace in the file."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._out.flush()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        far: asyncio.StreamWriter | None = None
        try:
            back, far = await asyncio.open_connection(*self._to)
            ways = [
                asyncio.ensure_future(self._pass(reader, far, RequestReader())),
                asyncio.ensure_future(self._pass(back, writer, None)),
            ]
            try:
                await asyncio.gather(*ways)
            finally:
                for way in ways:
                    way.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            for one in (writer, far):
                if one is not None:
                    one.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, asked: RequestReader | None
    ) -> None:
        """One way, to its end; the end itself is passed on too."""
        while data := await reader.read(65_536):
            writer.write(data)
            if asked is not None and not self._note(asked, data):
                asked = None
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def _note(self, asked: RequestReader, data: bytes) -> bool:
        try:
            requests = asked.feed(data)
        except Malformed:
            self.unread += 1
            return False
        for request in requests:
            now = time.monotonic() * 1000
            self._began = self._began if self._began is not None else now
            line = line_of(request, round(now - self._began, 3))
            if line is None:
                self.left += 1
                continue
            self._out.write(msgspec.json.encode(line) + b"\n")
            self.recorded += 1
        return True
