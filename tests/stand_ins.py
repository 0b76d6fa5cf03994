"""Fixtures for the tests over sockets: the real program as a process, and fakes of all services that it talks to.

Nothing here sleeps: tests wait for the expected event, and a time-out ends a test whose event never comes.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from itertools import count, groupby
from pathlib import Path
from typing import Any, TypeVar

T = TypeVar("T")
ROOT = Path(__file__).parent.parent
GUARD = 20.0  # seconds to wait for an expected event; only a failing test waits that long
CLASSES = [
    {"name": "inspect", "aim": 1200.0, "deadline": 4000.0, "repeat": "pure", "group": "all", "worth": 1.0},
    {
        "name": "reject",
        "aim": 600.0,
        "deadline": 1500.0,
        "repeat": "token",
        "group": "cell",
        "worth": 5.0,
        "window": 1500.0,
    },
]
PLANS = [
    {"name": "small-shop", "per-second": 1.0, "peak-units": 3.0, "worth-factor": 1.1, "overrun-cost": 0.8},
    {"name": "full-plant", "per-second": 10.0, "peak-units": 20.0, "worth-factor": 1.8, "overrun-cost": 0.8},
]
CUSTOMER = "00000000b4d65521"
PORTS = (12_000, 32_000)
_port_numbers = count(os.getpid() * 199)  # each process of a test run starts at another port
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


async def soon(awaitable: Awaitable[T]) -> T:
    """Await an expected event, GUARD seconds at most."""
    return await asyncio.wait_for(awaitable, GUARD)


async def read_head(reader: Reader) -> tuple[str, dict[str, str]]:
    """Read the head of a message; return its first line, and its headers by lower-case name."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    return head[0], {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in head[1:] if line)}


async def read_body(reader: Reader, headers: dict[str, str]) -> bytes:
    """Read and return the body of a message, chunked or of the declared length."""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


async def read_http(reader: Reader) -> tuple[str, dict[str, str], bytes]:
    """Read one message; return its first line, headers by lower-case name, and body."""
    first, headers = await read_head(reader)
    return first, headers, await read_body(reader, headers)


def http(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Encode a response; an underscore in a header name stands for a hyphen."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class StandIn:
    """Base of the fake servers: it counts connections and passes each one to `serve`."""

    def __init__(self) -> None:
        self.connections = 0
        self.writers: dict[Writer, None] = {}  # of the open connections, oldest first
        self.came: asyncio.Queue[Any] = asyncio.Queue()  # what was received, in the form that each subclass stores
        self.ended: asyncio.Queue[int] = asyncio.Queue()  # numbers of the connections that have ended
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        number = self.connections
        self.writers[writer] = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.serve(number, reader, writer)
        self.writers.pop(writer, None)
        writer.close()
        self.ended.put_nowait(number)

    async def serve(self, number: int, reader: Reader, writer: Writer) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Backend(StandIn):
    """A backend server; `reply` gets the number of the request and returns the response.

    The response is given as bytes, None to send nothing, or b"" to reset the connection.
    """

    def __init__(self, name: str, reply: Callable[[int], bytes | None] | None = None) -> None:
        super().__init__()
        self.name, self.reply = name, reply or (lambda n: http(200, b"scored"))
        # `born` is the start time in ms, `taken` the number of requests received.
        self.health, self.block, self.born, self.taken = "active", 0, 0, 0

    async def serve(self, number: int, reader: Reader, writer: Writer) -> None:
        """Answer each request with the result of `reply`."""
        while True:
            first, headers, body = await read_http(reader)
            self.taken += 1
            self.came.put_nowait((number, first, headers, body))
            answer = self.reply(self.taken)
            if answer == b"":
                return writer.transport.abort()
            writer.write(answer or b"")

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list of discovery."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "hall-a",
            "class": "c2-small",
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born,
        }


class Discovery(StandIn):
    """The discovery service: it holds each watch until `tell` gives it an update to answer with."""

    def __init__(self) -> None:
        super().__init__()
        self.news: asyncio.Queue[bytes] = asyncio.Queue()

    def tell(self, seq: int, whole: bool, *backends: Backend) -> None:
        """Queue an update for the next watch: a whole list or changes."""
        body = json.dumps({"seq": seq, "whole": whole, "hosts": [b.entry() for b in backends]}).encode()
        self.news.put_nowait(http(200, body))

    async def serve(self, number: int, reader: Reader, writer: Writer) -> None:
        """Answer watches with the queued updates."""
        while True:
            first = (await read_http(reader))[0]
            # This watch has to be answered at once, also without an update.
            if "hold_ms=1 " in first and self.news.empty():
                seq = int(first.partition("from=")[2].partition("&")[0])
                writer.write(http(200, json.dumps({"seq": seq, "whole": False, "hosts": []}).encode()))
                continue
            self.came.put_nowait(first)
            writer.write(await self.news.get())


class Counter(StandIn):
    """The quota counter over HTTP; while `open` is unset it holds its replies, then it sends them in order."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[str, float] = {}
        self.open = asyncio.Event()
        self.open.set()
        self.refusing = False
        self._held_replies: set[asyncio.Task[None]] = set()

    def add(self, name: str, amount: float) -> float:
        """Add to a total and return it."""
        self.totals[name] = self.totals.get(name, 0.0) + amount
        return self.totals[name]

    def say(self, writer: Writer, data: bytes) -> None:
        """Send a reply, at once or when `open` is set; replies keep their order."""

        if self.open.is_set() and not self._held_replies:
            return writer.write(data)

        async def write() -> None:
            await self.open.wait()
            writer.write(data)

        task = asyncio.create_task(write())
        self._held_replies.add(task)
        task.add_done_callback(self._held_replies.discard)
        return None

    async def serve(self, number: int, reader: Reader, writer: Writer) -> None:
        """Answer the calls of a connection in order."""
        while True:
            first, _, _ = await read_http(reader)
            self.came.put_nowait(first)
            name, _, query = first.split()[1].removeprefix("/tally/").partition("?")
            amount = float(query.split("&")[0].removeprefix("n="))
            self.say(writer, http(503) if self.refusing else http(200, b"%.7g" % self.add(name, amount)))


class RespCounter(Counter):
    """The quota counter over RESP; it supports MULTI, SET NX PX, INCRBYFLOAT and EXEC."""

    async def serve(self, number: int, reader: Reader, writer: Writer) -> None:
        """Answer the transactions of a connection in order."""
        queued: list[list[bytes]] = []
        while True:
            command = await read_command(reader)
            self.came.put_nowait(command)
            if command == [b"MULTI"]:
                queued = []
                self.say(writer, b"+OK\r\n")
            elif command != [b"EXEC"]:
                queued.append(command)
                self.say(writer, b"+QUEUED\r\n")
            else:
                self.say(writer, self.execute(queued))

    def execute(self, queued: list[list[bytes]]) -> bytes:
        """Execute a transaction and return its reply."""
        if self.refusing:
            return b"-EXECABORT Transaction discarded because of previous errors.\r\n"
        (verb, name, zero, px, _, nx), (incr, same, amount) = queued
        assert (verb, zero, px, nx, incr, same) == (b"SET", b"0", b"PX", b"NX", b"INCRBYFLOAT", name)
        fresh = name.decode() not in self.totals
        total = b"%.7g" % self.add(name.decode(), float(amount))
        return b"*2\r\n" + (b"+OK\r\n" if fresh else b"$-1\r\n") + b"$%d\r\n%s\r\n" % (len(total), total)


async def read_command(reader: Reader) -> list[bytes]:
    """Read one command, an array of bulk strings."""
    words = []
    for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def command(*words: str) -> bytes:
    """Encode a RESP command."""
    return f"*{len(words)}\r\n".encode() + b"".join(b"$%d\r\n%s\r\n" % (len(w), w.encode()) for w in words)


async def read_reply(reader: Reader) -> Any:
    """Read one RESP2 reply."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    kind, rest = line[:1], line[1:]
    if kind == b"*":
        return [await read_reply(reader) for _ in range(int(rest))]
    if kind == b"$":
        return None if rest == b"-1" else (await reader.readexactly(int(rest) + 2))[:-2]
    return int(rest) if kind == b":" else line.decode()


class Program:
    """The real program in a process of its own, started as the platform starts it."""

    process: asyncio.subprocess.Process

    def __init__(
        self,
        folder: str,
        discovery: str,
        counter: str,
        known: list[Backend],
        counter_timeout_ms: float = 50.0,
        sockets: int = 1024,
    ) -> None:
        port = free_port()
        self.listen, self._folder = f"127.0.0.1:{port}", folder
        family = {"shared-counter": True, "counter-timeout": counter_timeout_ms, "units-top": 1}
        limits = {
            "connect-timeout": 250.0,
            "keepalive": 30000.0,
            "send-cap": 5,
            "retry-after": True,
            "max-retry-after": 1000.0,
            "cancel": True,
        }
        settings = {
            "balancers": 2,
            "index": 0,
            "classes": CLASSES,
            "tiers-of-service": PLANS,
            "zones": ["hall-a", "hall-b"],
            "discovery": "push",
            "family-info": family,
            "limits": limits,
        }
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": self.listen,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "counter": counter,
            "limits": {"sockets": sockets},
            "settings": settings,
            "known": {"seq": 1, "whole": True, "hosts": [b.entry() for b in known]},
        }
        self.environ: dict[str, str] = {}  # environment variables in addition to those that `start` sets
        self.inherits: tuple[int, ...] = ()  # descriptors that the process inherits

    async def start(self, *arguments: str, fault: str = "", optimised: bool = False, module: str = "hallhitch") -> None:
        """Start the program with these arguments.

        `fault` is code that runs first and injects a fault; `optimised` passes -O, as in production; `module` may name
        a module that wraps the gateway to measure it.
        """
        call = ["-c", f"{fault}\nfrom hallhitch.__main__ import main\nraise SystemExit(main())"]
        path = Path(self._folder) / "config.json"
        path.write_text(json.dumps(self.config))
        environ = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(["-O"] if optimised else []),
            *(call if fault else ["-m", module]),
            *arguments,
            cwd=ROOT,
            env=environ | {"EDGE_CONFIG": str(path), "EDGE_DISCOVERY": self.config["discovery"]} | self.environ,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=self.inherits,
        )

    async def logged(self, text: str) -> str:
        """Wait for a log line that contains a text and return it."""
        assert self.process.stderr is not None
        while text.encode() not in (line := await soon(self.process.stderr.readline())):
            assert line, f"the program ended before it logged {text}"
        return line.decode()

    async def reload(self, text: str, said: str) -> None:
        """Replace the configuration file, trigger a reload, and wait for a log line that contains `said`."""
        self.replace(text)
        await self.logged(said)

    def replace(self, text: str) -> None:
        """Replace the configuration file atomically and trigger a reload."""
        new_path = Path(self._folder) / "config.new"
        new_path.write_text(text)
        new_path.replace(Path(self._folder) / "config.json")
        self.process.send_signal(signal.SIGHUP)

    async def connect(self, address: str = "") -> tuple[Reader, Writer]:
        """Open a connection to the program, by default to its client listener."""
        host, port = (address or self.listen).split(":")
        return await asyncio.open_connection(host, int(port))

    async def call(self, path: str, method: str = "GET", address: str = "") -> tuple[int, str]:
        """Call the operator address; return status and body."""
        reader, writer = await self.connect(address or self.config["ops"])
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        first, _, body = await soon(read_http(reader))
        assert await soon(reader.read()) == b"", "a connection serves one call"
        writer.close()
        return int(first.split()[1]), body.decode()

    async def figures(self) -> dict[str, int]:
        """Return the metrics of the operator address, by name with labels."""
        lines = (await self.call("/api/telemetry"))[1].splitlines()
        return {n: int(v) for n, _, v in (line.rpartition(" ") for line in lines if not line.startswith("#"))}

    async def stop(self) -> tuple[int | None, str]:
        """Stop the program with SIGTERM, as a planned restart does; return its exit code and the rest of its log."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        _, errors = await soon(self.process.communicate())
        return self.process.returncode, errors.decode()


def free_port() -> int:
    """Return an unused loopback port, below the range that the system uses for outgoing connections."""
    while True:
        port = PORTS[0] + next(_port_numbers) % (PORTS[1] - PORTS[0])
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """Starts the program with fakes of its services, and stops it as a planned restart does."""

    counter_kind: type[Counter] = Counter
    counter_timeout_ms = 5000.0  # long, so that tests about other things pass on a busy machine
    backends = 1
    resp = ""  # content of the file for --resp, without its listen address; "" for no such file
    sockets = 1024
    fault = ""  # code that injects a fault into the program
    ops = False  # whether the program gets an operator address

    async def asyncSetUp(self) -> None:
        # unittest turns on the loop's debug mode, in which the fake counter may need more than 50 ms.
        asyncio.get_running_loop().set_debug(False)
        self.counter, self.discovery = self.counter_kind(), Discovery()
        self.nodes = self.nodes_of()
        for stand_in in (self.counter, self.discovery, *self.nodes):
            await stand_in.start()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.program = Program(
            folder.name, self.discovery.address, self.counter.address, self.nodes, self.counter_timeout_ms, self.sockets
        )
        arguments = []
        if self.ops:
            self.program.config["ops"] = f"127.0.0.1:{free_port()}"
        self.prepare_program(self.program)
        if self.resp:
            self.resp_address = f"127.0.0.1:{free_port()}"
            path = Path(folder.name) / "resp.toml"
            lines = self.resp.format(counter=self.counter.address)
            path.write_text(f'listen = "{self.resp_address}"\n{lines}')
            arguments = ["--resp", str(path)]
        await self.program.start(*arguments, fault=self.fault)
        await self.program.logged('"serving"')

    def nodes_of(self) -> list[Backend]:
        """Return the backends that are in the configuration at the start."""
        return [Backend(f"b{n}") for n in range(self.backends)]

    def prepare_program(self, program: Program) -> None:
        """Prepare the program before its start; for subclasses."""

    async def asyncTearDown(self) -> None:
        code, errors = await self.program.stop()
        for stand_in in (self.counter, self.discovery, *self.nodes):
            await stand_in.stop()
        self.assertEqual(code, 0, errors)
        self.assertEqual("actor failed" in errors, "1 / 0" in self.fault, errors)
        self.assertNotIn("broken:", errors)

    def request(self, kind: str = "inspect", deadline: int = 4000, customer: str = CUSTOMER, **headers: str) -> bytes:
        """Encode a client request of a class."""
        method, body = ("GET", b"") if kind == "inspect" else ("POST", b"part")
        fields = {
            "Host": "service.internal",
            "Req-Id": f"{time.monotonic_ns():016x}",
            "X-Contract": "full-plant",
            "Req-Deadline-Ms": str(deadline),
            "X-Metering": "units=1,spread=2,first=0",
        }
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        if body:
            fields = {"Idempotency-Key": "5c0f6e1a", "Content-Length": str(len(body))} | fields
        lines = [f"{method} /{kind}/{customer}?part=7 HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def ask(self, data: bytes) -> tuple[str, dict[str, str], bytes]:
        """Send bytes on a new connection and return the response."""
        reader, writer = await self.program.connect()
        writer.write(data)
        answer = await soon(read_http(reader))
        writer.close()
        return answer


def assert_refused(case: unittest.TestCase, config: str, field: str, *arguments: str) -> None:
    """Assert that the program refuses to start and prints one line that names the field."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(config)
        environ = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        run = subprocess.run(
            [sys.executable, "-m", "hallhitch", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=GUARD,
            env=environ | {"EDGE_CONFIG": str(path)},
        )
    with case.subTest(field=field):
        case.assertEqual((run.returncode, len(run.stderr.splitlines())), (2, 1), run.stderr)
        case.assertIn(field, run.stderr)


def assert_one_customer(case: unittest.TestCase, names: list[Any]) -> None:
    """Assert that calls with two spellings of a customer use one counter name per window.

    A name may change when its window ends, and is not used again after that.
    """
    runs = [name for name, _ in groupby(names)]
    case.assertTrue(len(names) > 1 and len(runs) == len(set(runs)), names)
