"""Emulated clients: they resolve gateways, reuse connections, send requests with ids, deadlines and keys, and retry.

Clients record every attempt. `client_request` decides when they retry; this module does the I/O.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from hallhitch.lab.emulator.backend_connection import digest_body
from hallhitch.lab.emulator.client_environment import ClientEnvironment
from hallhitch.lab.emulator.client_request import (
    NOT_EXECUTED_STATUSES,
    AttemptResult,
    ClientRequest,
    RequestOutcome,
    retry_delay_ms,
)
from hallhitch.lab.emulator.directory_client import ClientLocation, DirectoryClient
from hallhitch.lab.emulator.network_paths import CLIENTS, region_of
from hallhitch.lab.emulator.records import ClientAttempt
from hallhitch.lab.http_messages import Reader, Writer, read_message
from hallhitch.lab.streams import Stream
from hallhitch.messages.addressing import split_address
from hallhitch.node.clock import now

MAX_ATTEMPTS: Final = 4
FIRST_BACKOFF_MS: Final = 20.0  # doubled after each attempt
NO_GATEWAY_PAUSE_S: Final = 0.05  # before an attempt fails because no gateway is known
CONNECT_TIMEOUT_MS: Final = 1000.0  # of a new connection
DEFAULT_IDLE_TIMEOUT_MS: Final = 4000.0  # maximum, and the default if the gateway announces none
UNREAD_TIMEOUT_MS: Final = 1000.0  # of an idempotent attempt at a paused gateway


@dataclass(slots=True)
class _ClientConnection:
    """An open connection to a gateway."""

    address: str
    reader: Reader
    writer: Writer
    usable_until_ms: float = 0.0


class Client:
    """A group of clients of one zone that share the directory's answer and a pool of idle connections.

    If `keeps_connections` is False, each attempt opens a new connection; `ttl_factor` multiplies the time for which the
    directory's answer is used. If `stays_connected` is True, open connections are used until the gateway closes them,
    whatever the directory's newest answer contains.
    """

    def __init__(  # noqa: PLR0913  settings, some with defaults
        self,
        environment: ClientEnvironment,
        region: str,
        zone: str,
        region_number: int,
        stream: Stream,
        keeps_connections: bool = True,
        ttl_factor: float = 1.0,
        stays_connected: bool = False,
    ) -> None:
        self.region = region
        self.zone = zone
        self.directory = DirectoryClient(environment, ClientLocation(region, zone, region_number), ttl_factor)
        self._environment = environment
        self._region_number = region_number
        self._stream = stream
        self._keeps_connections = keeps_connections
        self._stays_connected = stays_connected
        self._idle: list[_ClientConnection] = []

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.writer.close()
        self._idle.clear()

    # --- Requests.

    async def request(self, request: ClientRequest) -> RequestOutcome:
        """Send a request and retry it until its result is final or its deadline has passed."""
        outcome = RequestOutcome(request, self.region, now())
        deadline_ms, backoff_ms = outcome.sent_at_ms + request.deadline_ms, FIRST_BACKOFF_MS
        while outcome.attempts < MAX_ATTEMPTS and now() < deadline_ms:
            result = await self._attempt(request, deadline_ms, is_first=outcome.attempts == 0)
            outcome.attempts += 1
            outcome.status = result.status
            outcome.rejected_attempts += result.status in NOT_EXECUTED_STATUSES
            delay_ms = retry_delay_ms(request, result, deadline_ms - now(), backoff_ms)
            if delay_ms is None:
                break
            backoff_ms *= 2
            await asyncio.sleep(delay_ms / 1000)
        outcome.ended_at_ms = now()
        return outcome

    async def _attempt(self, request: ClientRequest, deadline_ms: float, is_first: bool) -> AttemptResult:
        """Send one attempt; only the first may use an idle connection."""
        connection = self._take_idle_connection() if is_first and self._keeps_connections else None
        if connection is None:
            usable = await self.directory.resolve(request.host)
            self._close_outdated()
            if not usable:
                await asyncio.sleep(NO_GATEWAY_PAUSE_S)
                return AttemptResult(is_unread=True)
            connection = await self._open_connection(usable[self._stream.index(len(usable))])
            if connection is None:
                return AttemptResult(is_unread=True)
        return await self._send_attempt(connection, request, deadline_ms)

    def _close_outdated(self) -> None:
        """Close idle connections to gateways that the directory's newest answer no longer contains."""
        for connection in [idle for idle in self._idle if self._is_outdated(idle)]:
            self._idle.remove(connection)
            connection.writer.close()

    def _is_outdated(self, connection: _ClientConnection) -> bool:
        return not self._stays_connected and self.directory.is_outdated(connection.address)

    def _take_idle_connection(self) -> _ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            is_open = not connection.reader.at_eof() and not connection.writer.is_closing()
            if now() < connection.usable_until_ms and is_open:
                return connection
            connection.writer.close()
        return None

    async def _open_connection(self, address: str) -> _ClientConnection | None:
        host, port = split_address(address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                await self._wait_for_outbound_link(address, 0.0)
                reader, writer = await asyncio.open_connection(host, port)
                await asyncio.sleep(2 * self._delay_ms(address) / 1000)  # the round trip of the handshake
        except (OSError, TimeoutError):
            self.directory.failed_addresses.add(address)
            return None
        return _ClientConnection(address, reader, writer)

    def _delay_ms(self, address: str) -> float:
        return self._environment.network.delay_ms(self._region_number, region_of(address))

    async def _wait_for_outbound_link(self, address: str, delay_ms: float) -> None:
        gateway = self._environment.gateway_names.get(address, "")
        await self._environment.network.wait_for_link(CLIENTS, gateway, now() + delay_ms)

    async def _wait_for_inbound_link(self, address: str, delay_ms: float) -> None:
        gateway = self._environment.gateway_names.get(address, "")
        await self._environment.network.wait_for_link(gateway, CLIENTS, now() + delay_ms)

    def _record_attempt(
        self, connection: _ClientConnection, request: ClientRequest, deadline_ms: float, is_probe: bool
    ) -> ClientAttempt:
        environment, sent_at_ms = self._environment, now()
        attempt = ClientAttempt(
            id=f"{next(environment.request_ids):016x}",
            sent_at_ms=sent_at_ms,
            region=self.region,
            zone=self.zone,
            gateway=environment.gateway_names.get(connection.address, ""),
            method=request.method,
            host=request.host,
            path=request.path,
            api_key=request.api_key,
            body_digest=digest_body(request.body),
            deadline_ms=deadline_ms - sent_at_ms,
            is_probe=is_probe,
        )
        environment.records.attempts.append(attempt)
        return attempt

    async def _send_attempt(
        self, connection: _ClientConnection, request: ClientRequest, deadline_ms: float, is_probe: bool = False
    ) -> AttemptResult:
        """Send one attempt on a connection and record it."""
        attempt = self._record_attempt(connection, request, deadline_ms, is_probe)
        address, timeout_ms = connection.address, attempt.deadline_ms
        # A paused gateway reads nothing, so an idempotent attempt there times out early enough for a retry.
        if request.is_idempotent and not self._environment.is_reading(address):
            timeout_ms = min(timeout_ms, UNREAD_TIMEOUT_MS, timeout_ms / 3)
        encoded = _encode_request(request, attempt)
        try:
            async with asyncio.timeout(max(0.001, min(timeout_ms, request.patience_ms) / 1000)):
                await self._wait_for_outbound_link(address, self._delay_ms(address))
                if connection.writer.is_closing():
                    raise ConnectionResetError(f"{address} closed the connection")
                connection.writer.write(encoded)
                status_line, headers, body = await read_message(connection.reader)
                await self._wait_for_inbound_link(address, self._delay_ms(address))
        except (OSError, EOFError, ValueError, TimeoutError, asyncio.LimitOverrunError):
            connection.writer.transport.abort()
            attempt.ended_at_ms = now()
            if attempt.ended_at_ms - attempt.sent_at_ms >= request.patience_ms:
                attempt.left_at_ms = attempt.ended_at_ms
                return AttemptResult(has_left=True)
            self.directory.failed_addresses.add(address)
            return AttemptResult()
        attempt.ended_at_ms = now()
        attempt.is_complete = True
        attempt.status = int(status_line.split()[1])
        attempt.response_digest = digest_body(body)
        attempt.seal = headers.get("hallhitch-response-seal", "")
        attempt.echoed_id = headers.get("hallhitch-request-id", "")
        self._release_connection(connection, headers)
        retry_after = headers.get("retry-after", "")
        retry_after_ms = float(retry_after) * 1000 if retry_after.replace(".", "", 1).isdigit() else 0.0
        return AttemptResult(attempt.status, retry_after_ms=retry_after_ms)

    def _release_connection(self, connection: _ClientConnection, headers: Mapping[str, str]) -> None:
        """Return a connection to the idle pool, or close it if it cannot be reused."""
        parameters = dict(part.strip().partition("=")[::2] for part in headers.get("keep-alive", "").split(","))
        timeout = parameters.get("timeout", "")
        idle_timeout_ms = float(timeout) * 1000 if timeout.isdigit() else DEFAULT_IDLE_TIMEOUT_MS
        is_closing = headers.get("connection", "").lower() == "close"
        if not self._keeps_connections or is_closing or self._is_outdated(connection):
            connection.writer.close()
        else:
            connection.usable_until_ms = now() + min(idle_timeout_ms, DEFAULT_IDLE_TIMEOUT_MS)
            self._idle.append(connection)

    async def use_one_connection(self, address: str, planned: Sequence[tuple[float, ClientRequest]]) -> None:
        """Open a connection to a gateway and send attempts on it, each after a pause in s, until it closes."""
        connection = await self._open_connection(address)
        if connection is None:
            return
        for pause_s, request in planned:
            await asyncio.sleep(pause_s)
            if connection.reader.at_eof() or connection.writer.is_closing():
                break
            await self._send_attempt(connection, request, now() + request.deadline_ms)
        if connection in self._idle:
            self._idle.remove(connection)
        connection.writer.close()

    async def probe(self, address: str, request: ClientRequest) -> int:
        """Send one attempt to a gateway and return its status, or 0 if there was no response."""
        connection = await self._open_connection(address)
        if connection is None:
            return 0
        deadline_ms = now() + request.deadline_ms
        return (await self._send_attempt(connection, request, deadline_ms, is_probe=True)).status


def _encode_request(request: ClientRequest, attempt: ClientAttempt) -> bytes:
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"Host: {request.host}",
        f"Hallhitch-Request-Id: {attempt.id}",
        f"Hallhitch-Deadline-Remaining: {max(1, attempt.deadline_ms):.0f}",
    ]
    if request.api_key:
        lines.append(f"Authorization: Token {request.api_key}")
    if request.body:
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + request.body
