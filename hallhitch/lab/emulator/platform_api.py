"""Server of the platform's instance list, with pages, lag, a rate limit over all callers, and outages.

It returns the fleet's listing as it was `listing_lag_ms` ago.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import deque
from enum import StrEnum
from typing import Final
from urllib.parse import parse_qsl

from hallhitch.lab.emulator.backend_fleet import LIST_COLUMNS, BackendFleet
from hallhitch.lab.emulator.connection_owners import Address
from hallhitch.lab.emulator.network_paths import PLATFORM
from hallhitch.lab.http_messages import Reader, Writer, encode_response, read_message
from hallhitch.node.clock import now

INSTANCES_PER_PAGE: Final = 50
RATE_WINDOW_MS: Final = 1000.0
SLOW_RESPONSE_MS: Final = 1500.0  # longer than callers wait before they consider the list unreachable
JSON_CONTENT_TYPE: Final = "Content-Type: application/json\r\n"


class PlatformState(StrEnum):
    """How the server handles calls."""

    UP = "up"
    SLOW = "slow"
    DOWN = "down"  # connections are reset
    SILENT = "silent"  # requests are read but not responded to


class PlatformApi:
    """The server of the instance list."""

    def __init__(
        self,
        fleet: BackendFleet,
        address: Address,
        rate_per_s: float = 50.0,
        instances_per_page: int = INSTANCES_PER_PAGE,
    ) -> None:
        self.address = address
        self.state = PlatformState.UP
        self.calls = 0
        self.rejected = 0
        self._fleet = fleet
        self._rate_per_s = rate_per_s
        self._instances_per_page = instances_per_page
        self._recent_calls_ms: deque[float] = deque()
        self._writers: set[Writer] = set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve_connection, *self.address, reuse_address=True)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve_connection(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        caller = self._fleet.find_owner(writer.get_extra_info("peername"), writer.get_extra_info("sockname"))
        with contextlib.suppress(OSError, EOFError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            while True:
                request_line, _, _ = await read_message(reader)
                await self._fleet.network.wait_for_link(caller, PLATFORM)
                state = self.state
                if state is PlatformState.SILENT:
                    await reader.read(1)
                if state in (PlatformState.DOWN, PlatformState.SILENT):
                    break
                if state is PlatformState.SLOW:
                    await asyncio.sleep(SLOW_RESPONSE_MS / 1000)
                response = self.respond(now(), request_line.split()[1])
                await self._fleet.network.wait_for_link(PLATFORM, caller)
                writer.write(response)
        self._writers.discard(writer)
        writer.transport.abort()

    def respond(self, moment_ms: float, target: str) -> bytes:
        """Return the response to a call that arrives at a moment."""
        path, _, query = target.partition("?")
        if path != "/instances":
            return encode_response(404)
        self.calls += 1
        while self._recent_calls_ms and self._recent_calls_ms[0] <= moment_ms - RATE_WINDOW_MS:
            self._recent_calls_ms.popleft()
        if len(self._recent_calls_ms) >= self._rate_per_s:
            self.rejected += 1
            return encode_response(429, extra="Retry-After: 0.2\r\n")
        self._recent_calls_ms.append(moment_ms)
        parameters = dict(parse_qsl(query))
        first_row, listed_at_ms = 0, moment_ms - self._fleet.listing_lag_ms
        if token := parameters.get("pageToken", ""):  # p-(first row)-(moment of the listing on the first page)
            _, row, listed_at = token.split("-")
            first_row, listed_at_ms = int(row), float(listed_at)
        rows = self._fleet.listed_rows(listed_at_ms, parameters.get("zone", ""))
        next_row = first_row + self._instances_per_page
        body = {
            "instances": {"columnNames": LIST_COLUMNS, "rowValues": rows[first_row:next_row]},
            "nextPageToken": f"p-{next_row}-{listed_at_ms:.3f}" if next_row < len(rows) else None,
        }
        return encode_response(200, json.dumps(body).encode(), JSON_CONTENT_TYPE)
