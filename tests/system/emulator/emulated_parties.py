"""Helpers for tests of single emulated parties: a backend, requests to it, and a server with scripted responses."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from hallhitch.lab.emulator.backend import Backend, BackendSpec
from hallhitch.lab.emulator.backend_fleet import BackendFleet
from hallhitch.lab.emulator.network_paths import NetworkPaths
from hallhitch.lab.emulator.ports import reserve_ports
from hallhitch.lab.emulator.records import Records
from hallhitch.lab.http_messages import Reader, Writer, read_message

TEST_TIMEOUT_S: Final = 20.0  # after which a test fails
BACKEND_HOST: Final = "127.1.1.200"
BACKEND_LOCATION: Final = ("zone-1a", "region-1")
SCRIPTED_HOST: Final = "127.1.1.1"
Message = tuple[str, dict[str, str], bytes]  # first line, headers, body


def run_with_timeout(body: Callable[[], Awaitable[None]]) -> None:
    """Run the coroutine of a test with a timeout."""
    asyncio.run(asyncio.wait_for(body(), TEST_TIMEOUT_S))


@contextlib.asynccontextmanager
async def running_backend(spec: BackendSpec, is_cold: bool = False) -> AsyncIterator[Backend]:
    """Run one backend, `b1`, in its own fleet."""
    base_port, reservation = reserve_ports()
    fleet = BackendFleet(Records(), NetworkPaths(0, 0, {}), base_port)
    try:
        yield await fleet.start_backend("b1", spec, BACKEND_HOST, BACKEND_LOCATION, is_cold)
    finally:
        fleet.close()
        reservation.close()


def encode_request(id: str, deadline_ms: int = 5000, path: str = "/look/1", **headers: str) -> bytes:
    """Encode a request; underscores in header names become hyphens."""
    lines = [f"GET {path} HTTP/1.1", "Host: x", f"Hallhitch-Deadline-Remaining: {deadline_ms}"]
    lines += [f"Hallhitch-Request-Id: {id}"] if id else []
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def send_request(backend: Backend, request: bytes) -> Message | None:
    """Send a request on a new connection; return the response, or None if the connection closed without one."""
    reader, writer = await asyncio.open_connection(*backend.address)
    try:
        writer.write(request)
        return await asyncio.wait_for(read_message(reader), TEST_TIMEOUT_S)
    except (OSError, EOFError):
        return None
    finally:
        writer.close()


def status_of(message: Message | None) -> int:
    """Return the status of a response, or 0 if there is none."""
    return int(message[0].split()[1]) if message is not None else 0


async def wait_for_arrivals(backend: Backend, count: int) -> None:
    """Wait until this many requests have arrived."""
    while len(backend.fleet.records.arrivals) < count:
        await asyncio.sleep(0)


async def start_scripted_server(port: int, reply: Callable[[str, dict[str, str], bytes], bytes]) -> asyncio.Server:
    """Start a server at SCRIPTED_HOST that responds to each message with what `reply` returns."""

    async def serve(reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                writer.write(reply(*await read_message(reader)))
        writer.close()

    return await asyncio.start_server(serve, SCRIPTED_HOST, port)
