"""Emulated operator: sends configurations and evacuations until they are accepted, reads them, and records all of it.

It knows the addresses that currently serve `control_plane` and nothing else about the system.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from typing import Final, Literal, NamedTuple
from urllib.parse import urlsplit

from hallhitch.lab.emulator.connection_owners import Address
from hallhitch.lab.emulator.records import Config, ConfigRead, OperatorOperation, Records
from hallhitch.lab.http_messages import read_message
from hallhitch.lab.streams import Stream
from hallhitch.node.clock import now

DEFAULT_TIMEOUT_MS: Final = 10_000.0  # of an operation over all its attempts
RESPONSE_TIMEOUT_MS: Final = 1000.0  # the operators' protocol: try another address afterwards
BODY_BYTES_PER_EXTRA_MS: Final = 200.0  # the response timeout grows by 1 ms per this many bytes of the body
CONCLUSIVE_STATUSES: Final = (400, 409, 412, 413, 422)  # rejections that are not retried
RETRYABLE_CLIENT_ERRORS: Final = (408, 429)
MAX_ATTEMPTS_ON_CLIENT_ERROR: Final = 3  # attempts that end with any other 4xx status
MAX_REDIRECTS: Final = 2  # per attempt
FIRST_BACKOFF_MS: Final = 50.0
MAX_BACKOFF_MS: Final = 1000.0
BACKOFF_FACTOR: Final = 1.5


class OperatorResponse(NamedTuple):
    """A response; its status is 0 if none arrived."""

    status: int
    body: bytes = b""


class EmulatedOperator:
    """One operator. `list_addresses` is called before each attempt and returns the current control plane addresses."""

    def __init__(self, records: Records, list_addresses: Callable[[], Sequence[Address]], stream: Stream) -> None:
        self._records = records
        self._list_addresses = list_addresses
        self._stream = stream

    async def replace_config(
        self, config: Config, timeout_ms: float = DEFAULT_TIMEOUT_MS, *, is_valid: bool = True
    ) -> OperatorOperation:
        """Send a configuration until there is a conclusive response."""
        body = json.dumps(config).encode()
        sent_at_ms = now()
        response = await self._send("POST", "/hallhitch/rpc?call=config.replace", body, timeout_ms)
        operation = OperatorOperation(
            sent_at_ms,
            "config",
            now() if response.status == 200 else None,
            config["configVersion"],
            config,
            status=response.status,
            is_valid=is_valid,
        )
        self._records.operations.append(operation)
        return operation

    async def start_evacuation(self, zone: str, timeout_ms: float = DEFAULT_TIMEOUT_MS) -> OperatorOperation:
        """Evacuate a zone, so that its backends get no more requests."""
        return await self._change_evacuation("evacuate", "start", zone, timeout_ms)

    async def stop_evacuation(self, zone: str, timeout_ms: float = DEFAULT_TIMEOUT_MS) -> OperatorOperation:
        """End the evacuation of a zone."""
        return await self._change_evacuation("return", "stop", zone, timeout_ms)

    async def _change_evacuation(
        self, kind: Literal["evacuate", "return"], call: str, zone: str, timeout_ms: float
    ) -> OperatorOperation:
        sent_at_ms = now()
        target = f"/hallhitch/rpc?call=evacuations.{call}&of={zone}"
        response = await self._send("POST", target, b"", timeout_ms)
        operation = OperatorOperation(
            sent_at_ms, kind, now() if 200 <= response.status < 300 else None, zone=zone, status=response.status
        )
        self._records.operations.append(operation)
        return operation

    async def read_config(self, timeout_ms: float = DEFAULT_TIMEOUT_MS) -> ConfigRead:
        """Read the newest configuration."""
        read = await self._read_config(timeout_ms)
        self._records.config_reads.append(read)
        return read

    async def read_config_if_answered(self, timeout_ms: float) -> ConfigRead:
        """Read from machines that may lack a majority: a missing response is no violation, a superseded one is."""
        read = await self._read_config(timeout_ms)
        if read.config is not None:
            self._records.config_reads.append(read)
        return read

    async def _read_config(self, timeout_ms: float) -> ConfigRead:
        response = await self._send("POST", "/hallhitch/rpc?call=config.describe", b"", timeout_ms)
        if response.status != 200:
            return ConfigRead(now(), None)
        try:
            return ConfigRead(now(), json.loads(response.body))
        except ValueError:
            return ConfigRead(now(), {"configVersion": -1})

    async def _send(self, method: str, target: str, body: bytes, timeout_ms: float) -> OperatorResponse:
        """Try the addresses in turn until there is a conclusive response."""
        deadline_ms, backoff_ms, client_errors, last_status = now() + timeout_ms, FIRST_BACKOFF_MS, 0, 0
        number = self._stream.index(len(self._list_addresses()))
        while now() < deadline_ms:
            addresses = self._list_addresses()
            response = await self._attempt(addresses[number % len(addresses)], method, target, body)
            status = response.status
            if 200 <= status < 300 or status in CONCLUSIVE_STATUSES:
                return response
            if 400 <= status < 500 and status not in RETRYABLE_CLIENT_ERRORS:
                client_errors += 1
                if client_errors >= MAX_ATTEMPTS_ON_CLIENT_ERROR:
                    return response
            last_status = status or last_status
            number += 1
            await asyncio.sleep(backoff_ms / 1000)
            backoff_ms = min(MAX_BACKOFF_MS, backoff_ms * BACKOFF_FACTOR)
        return OperatorResponse(last_status if last_status >= 400 else 0)

    async def _attempt(self, address: Address, method: str, target: str, body: bytes) -> OperatorResponse:
        """Send one attempt and follow its redirects."""
        for _ in range(MAX_REDIRECTS + 1):
            try:
                async with asyncio.timeout((RESPONSE_TIMEOUT_MS + len(body) / BODY_BYTES_PER_EXTRA_MS) / 1000):
                    status, headers, response_body = await self._call(address, method, target, body)
            except (OSError, EOFError, ValueError, TimeoutError):
                return OperatorResponse(0)
            if status != 307:
                return OperatorResponse(status, response_body)
            location = urlsplit(headers.get("location", ""))
            if not location.hostname or not location.port:
                return OperatorResponse(0)
            address = (location.hostname, location.port)
            target = f"{location.path}?{location.query}" if location.query else location.path
        return OperatorResponse(0)

    async def _call(self, address: Address, method: str, target: str, body: bytes) -> tuple[int, dict[str, str], bytes]:
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
            if body:
                head += "Content-Type: application/json\r\n"
            writer.write(f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
            status_line, headers, response_body = await read_message(reader)
            return int(status_line.split()[1]), headers, response_body
        finally:
            writer.close()
