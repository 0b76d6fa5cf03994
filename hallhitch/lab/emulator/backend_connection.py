"""One connection to an emulated backend, which reads, records and responds to requests one at a time.

An arrival and the start of its execution are recorded before any part of the response is sent. Refusals may come twice
or name no request (`BackendSpec`), and responses to executed requests have the faults that the fleet draws.
"""

from __future__ import annotations

import asyncio
import zlib
from collections import deque
from typing import TYPE_CHECKING, Final, cast

from hallhitch.lab.emulator.network_paths import BACKENDS
from hallhitch.lab.emulator.records import BackendArrival
from hallhitch.lab.emulator.response_fault import FAULTS_WITHOUT_RESPONSE, ResponseFault
from hallhitch.net.http import Malformed, Message, RequestReader
from hallhitch.node.clock import now

if TYPE_CHECKING:
    from hallhitch.lab.emulator.backend import Backend

NOT_EXECUTED_HEADER: Final = b"Hallhitch-Not-Executed: 1\r\n"
LATE_DUPLICATE_DELAY_MS: Final = 30.0  # long enough for the next request to be on the connection
COLD_WORK_FACTOR: Final = 2.0  # a cold backend takes this many times as long as a warm one
DEFAULT_DEADLINE_MS: Final = 60_000.0  # of a request without a deadline header


def digest_body(body: bytes) -> int:
    """Return the digest of a body that records contain."""
    return zlib.crc32(body)


class BackendConnection(asyncio.Protocol):
    """Server side of one connection to a backend."""

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.fleet = backend.fleet
        self.spec = backend.spec
        self._reader = RequestReader()
        self._waiting = deque[Message]()
        self._task: asyncio.Task[None] | None = None
        self._executing: BackendArrival | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._sender = ""  # name of the process that opened the connection
        self._delay_ms = 0.0  # one-way

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or reset it if the backend has stopped or is at its connection limit."""
        self._transport = cast(asyncio.Transport, transport)
        is_full = len(self.backend.connections) >= self.spec.max_connections
        if is_full or self.backend.has_ended:
            return self._transport.abort()
        self.backend.connections.add(self)
        self.fleet.connections_opened += 1
        self._start_idle_timer()
        if self.fleet.draws_refusal(self.spec.unsolicited_refusal_ratio):
            self._write_later(self.fleet.draw_copy_delay_ms(), self._encode_response(503, NOT_EXECUTED_HEADER, b"", ""))
        return None

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the current request and release the resources of a closed connection."""
        self.backend.connections.discard(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._task is not None:
            self._task.cancel()
        self._reader.close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start serving complete requests."""
        try:
            self._waiting += self._reader.feed(data)
        except Malformed:
            self._write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return self._close()
        if self._waiting and self._task is None:
            if self._idle_timer is not None:
                self._idle_timer.cancel()
            if not self._sender and self._transport is not None:
                get_extra_info = self._transport.get_extra_info
                peer, local = get_extra_info("peername"), get_extra_info("sockname")
                self._sender, self._delay_ms = self.fleet.identify_caller(peer, local, self.backend)
            self._task = asyncio.get_running_loop().create_task(self._serve())
            return None
        return None

    def abort(self) -> None:
        """Reset the connection; a request that is being executed is broken off."""
        if self._executing is not None:
            self._executing.is_broken_off = True
        if self._transport is not None:
            self._transport.abort()

    def _start_idle_timer(self) -> None:
        self._idle_timer = asyncio.get_running_loop().call_later(self.spec.idle_timeout_ms / 1000, self._close)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    async def _serve(self) -> None:
        """Serve all parsed requests in order."""
        while self._waiting:
            message = self._waiting.popleft()
            await self.fleet.network.wait_for_link(self._sender, BACKENDS, now() + self._delay_ms)
            headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in message.headers.items()}
            path = message.target.decode("latin-1")
            is_health_check = (
                path == self.spec.health_path and message.method == b"GET" and "hallhitch-request-id" not in headers
            )
            if is_health_check:
                await self._respond_to_health_check()
            else:
                await self._handle_request(message, headers, path)
        self._task = None
        self._start_idle_timer()

    async def _respond_to_health_check(self) -> None:
        backend = self.backend
        self.fleet.health_checks += 1
        if not await backend.acquire_slot():
            return await self._respond(503, NOT_EXECUTED_HEADER)
        backend.release_slot()
        cold_remaining_ms = max(0.0, backend.cold_until_ms - now())
        headers = (
            f"Hallhitch-Instance-Id: {backend.instance}\r\nHallhitch-Cold-Remaining: {cold_remaining_ms:.0f}ms\r\n"
        )
        is_available = backend.is_healthy and not backend.is_draining
        await self._respond(200 if is_available else 503, headers.encode())
        return None

    def _record_arrival(self, message: Message, headers: dict[str, str], path: str) -> BackendArrival:
        backend = self.backend
        arrival = BackendArrival(
            number=next(self.fleet.records.arrival_numbers),
            id=headers.get("hallhitch-request-id", ""),
            arrived_at_ms=now(),
            instance=backend.instance,
            service=self.spec.service,
            zone=backend.zone,
            region=backend.region,
            sender=self._sender,
            method=message.method.decode(),
            path=path,
            tenant=headers.get("hallhitch-tenant-name", ""),
            authorization=headers.get("authorization", ""),
            body_digest=digest_body(message.body),
        )
        self.fleet.records.arrivals.append(arrival)
        return arrival

    async def _handle_request(self, message: Message, headers: dict[str, str], path: str) -> None:
        backend = self.backend
        arrival = self._record_arrival(message, headers, path)
        if not arrival.id:
            return await self._decline(arrival, 400)
        if headers.get("hallhitch-expected-instance", backend.instance) != backend.instance:
            return await self._decline(arrival, 421)
        if backend.is_overloaded_by_arrival(arrival.arrived_at_ms):
            return self.fleet.crash(backend)
        remaining = headers.get("hallhitch-deadline-remaining", "")
        remaining_ms = float(remaining) if remaining.replace(".", "", 1).isdigit() else DEFAULT_DEADLINE_MS
        ends_at_ms = arrival.arrived_at_ms + remaining_ms
        if self.fleet.draws_refusal(self.spec.refusal_ratio) or not await backend.acquire_slot():
            if self.spec.resets_when_full:
                return self.abort()
            return await self._decline(arrival, 503)
        try:
            if now() >= ends_at_ms:
                return await self._decline(arrival, 503)
            arrival.started_at_ms = now()
            await self._execute(arrival, ends_at_ms)
        finally:
            backend.release_slot()

    async def _decline(self, arrival: BackendArrival, status: int) -> None:
        """Respond with a status and the header that promises that the request was not executed."""
        arrival.status = status
        await self._respond(status, NOT_EXECUTED_HEADER, request_id=arrival.id)
        if self.fleet.draws_refusal(self.spec.refusal_copy_ratio):
            copy = self._encode_response(status, NOT_EXECUTED_HEADER, b"", arrival.id)
            self._write_later(self.fleet.draw_copy_delay_ms(), copy)

    async def _execute(self, arrival: BackendArrival, ends_at_ms: float) -> None:
        backend = self.backend
        work_ms = self.fleet.draw_work_ms(self.spec) * (COLD_WORK_FACTOR if backend.is_cold else 1.0)
        work_ms *= 1 + self.spec.contention_ratio * backend.busy_slots / self.spec.slots
        arrival.planned_end_ms = min(now() + work_ms, ends_at_ms)
        self._executing = arrival
        try:
            await asyncio.sleep(max(0.0, arrival.planned_end_ms - now()) / 1000)
        finally:
            arrival.stopped_at_ms = now()
            self._executing = None
        if now() >= ends_at_ms:
            arrival.status = 504
            return await self._respond(504, request_id=arrival.id)
        body = self._response_body(arrival)
        arrival.status = 200
        arrival.response_digest = digest_body(body)
        arrival.seal = f"{backend.instance}.{arrival.number:x}.{arrival.response_digest:08x}"
        await self._send_success(arrival, body)
        return None

    def _response_body(self, arrival: BackendArrival) -> bytes:
        size = self.fleet.response_bytes(arrival.path)
        text = f"{self.backend.instance} {arrival.id} ".encode()
        return (text * (size // len(text) + 1))[:size]

    async def _send_success(self, arrival: BackendArrival, body: bytes) -> None:
        """Send a successful response, with the next pending or drawn fault applied to it."""
        pending_faults = self.backend.pending_faults
        fault = pending_faults.popleft() if pending_faults else self.fleet.draw_fault()
        arrival.is_broken_off = fault in FAULTS_WITHOUT_RESPONSE
        seal = f"Hallhitch-Response-Seal: {arrival.seal}\r\n".encode()
        match fault:
            case ResponseFault.SILENT:
                await asyncio.get_running_loop().create_future()  # waits until the closing of the connection cancels it
            case ResponseFault.LOST:
                await self._wait_for_link()
                self.abort()
            case ResponseFault.GARBLED:
                await self._wait_for_link()
                self._write(b"\x00\x01 these are no answer \r\n\r\n")
                self._close()
            case ResponseFault.BROKEN_OFF:
                response = self._encode_response(200, seal, body, arrival.id)
                await self._wait_for_link()
                self._write(response[: len(response) - len(body) // 2 - 1])
                self._close()
            case ResponseFault.DUPLICATED:
                await self._respond(200, seal, body, arrival.id)
                self._write(self._encode_response(200, seal, body, arrival.id))
            case ResponseFault.DUPLICATED_LATE:
                await self._respond(200, seal, body, arrival.id)
                self._write_later(LATE_DUPLICATE_DELAY_MS, self._encode_response(200, seal, body, arrival.id))
            case _:
                await self._respond(200, seal, body, arrival.id)

    async def _respond(self, status: int, headers: bytes = b"", body: bytes = b"", request_id: str = "") -> None:
        response = self._encode_response(status, headers, body, request_id)
        await self._wait_for_link()
        self._write(response)
        if self.backend.is_draining:
            self._close()

    async def _wait_for_link(self) -> None:
        await self.fleet.network.wait_for_link(BACKENDS, self._sender, now() + self._delay_ms)

    def _encode_response(self, status: int, headers: bytes, body: bytes, request_id: str) -> bytes:
        id_header = f"Hallhitch-Request-Id: {request_id}\r\n" if request_id else ""
        if self.backend.is_draining:
            connection_header = "Connection: close"
        else:
            connection_header = f"Keep-Alive: timeout={self.spec.idle_timeout_ms / 1000:.0f}"
        head = f"HTTP/1.1 {status} X\r\n{id_header}{connection_header}\r\nContent-Length: {len(body)}\r\n"
        return head.encode() + headers + b"\r\n" + body

    def _write_later(self, delay_ms: float, data: bytes) -> None:
        asyncio.get_running_loop().call_later(delay_ms / 1000, self._write, data)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
