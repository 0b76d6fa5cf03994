"""The platform's list of instances: pages, lag, a rate for all callers together, outages.

It tells what the fleet's keeper held `lag` ms ago and knows nothing else. Each process reaches it at an image of its
own, so a link between the two can be cut.
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
from hallhitch.lab.system.paths import PLATFORM, STEP, caller_of, party
from hallhitch.node.clock import now

PAGE = 50  # instances
SLOW = 1500.0  # ms that a slow list takes
JSON = "Content-Type: application/json\r\n"


def host_for(caller: int) -> str:
    """Where a process reaches the platform."""
    return f"127.{STEP * caller}.0.1"


State = Literal["up", "slow", "down", "silent"]


class Platform:
    """The list's server. `state`: whether it answers, is slow, resets, or says nothing."""

    def __init__(self, fleet: Fleet, port: int, rate: float = 50.0, page: int = PAGE) -> None:
        self._fleet, self.port, self._rate, self._page = fleet, port, rate, page
        self.state: State = "up"
        self.calls = self.refused = 0
        self._recent: deque[float] = deque()
        self._writers: set[Writer] = set()

    async def start(self, callers: list[int]) -> None:
        """Listen for these processes."""
        self._server = await asyncio.start_server(
            self._connected, [host_for(number) for number in callers], self.port)

    def close(self) -> None:
        """End."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connected(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        caller = caller_of(writer.get_extra_info("sockname")[0])
        with contextlib.suppress(OSError, EOFError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            while True:
                first, _, _ = await read_message(reader)
                await self._fleet.paths.open(party(caller), PLATFORM)
                state = self.state
                if state == "silent":
                    await reader.read(1)
                if state in ("down", "silent"):
                    break
                if state == "slow":
                    await asyncio.sleep(SLOW / 1000)
                text = self.reply(now(), caller, first.split()[1])
                await self._fleet.paths.open(PLATFORM, party(caller))
                writer.write(text)
        self._writers.discard(writer)
        writer.transport.abort()

    def reply(self, at: float, caller: int, target: str) -> bytes:
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
        rows = self._fleet.listed(moment, caller, asked.get("zone", ""))
        more = begin + self._page < len(rows)
        body = {"instances": {"columnNames": COLUMNS, "rowValues": rows[begin:begin + self._page]},
                "nextPageToken": f"p-{begin + self._page}-{moment:.3f}" if more else None}
        return answer(200, json.dumps(body).encode(), JSON)
