"""The platform's list of instances: pages, lag, a rate for all callers together, outages.

It tells what the fleet's keeper held `lag` ms ago and knows nothing else.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import deque
from typing import Literal
from urllib.parse import parse_qsl

from hallhitch.lab.http_wire import Reader, Writer, answer, read_message
from hallhitch.lab.system.fleet import COLUMNS, Fleet
from hallhitch.lab.system.owners import Address
from hallhitch.lab.system.paths import PLATFORM
from hallhitch.node.clock import now

PAGE = 50  # instances
SLOW = 1500.0  # ms that a slow list takes
JSON = "Content-Type: application/json\r\n"


State = Literal["up", "slow", "down", "silent"]


class Platform:
    """The list's server. `state`: whether it answers, is slow, resets, or says nothing."""

    def __init__(self, fleet: Fleet, address: Address, rate: float = 50.0, page: int = PAGE) -> None:
        self._fleet, self.address, self._rate, self._page = fleet, address, rate, page
        self.state: State = "up"
        self.calls = self.refused = 0
        self._recent: deque[float] = deque()
        self._writers: set[Writer] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._connected, *self.address, reuse_address=True)

    def close(self) -> None:
        """End."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connected(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        caller = self._fleet.owner(writer.get_extra_info("peername"), writer.get_extra_info("sockname"))
        with contextlib.suppress(OSError, EOFError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            while True:
                first, _, _ = await read_message(reader)
                await self._fleet.paths.pass_on(caller, PLATFORM)
                state = self.state
                if state == "silent":
                    await reader.read(1)
                if state in ("down", "silent"):
                    break
                if state == "slow":
                    await asyncio.sleep(SLOW / 1000)
                text = self.reply(now(), first.split()[1])
                await self._fleet.paths.pass_on(PLATFORM, caller)
                writer.write(text)
        self._writers.discard(writer)
        writer.transport.abort()

    def reply(self, at: float, target: str) -> bytes:
        """The answer to one call at a moment."""
        path, _, query = target.partition("?")
        if path != "/instances":
            return answer(404)
        self.calls += 1
        while self._recent and self._recent[0] <= at - 1000:
            self._recent.popleft()
        if len(self._recent) >= self._rate:
            self.refused += 1
            return answer(429, extra="Retry-After: 0.2\r\n")
        self._recent.append(at)
        asked = dict(parse_qsl(query))
        begin, moment = 0, at - self._fleet.lag
        if token := asked.get("pageToken", ""):  # p-(first row)-(moment that its first page showed)
            _, row, stamp = token.split("-")
            begin, moment = int(row), float(stamp)
        rows = self._fleet.listed(moment, asked.get("zone", ""))
        more = begin + self._page < len(rows)
        body = {
            "instances": {"columnNames": COLUMNS, "rowValues": rows[begin : begin + self._page]},
            "nextPageToken": f"p-{begin + self._page}-{moment:.3f}" if more else None,
        }
        return answer(200, json.dumps(body).encode(), JSON)
