"""The operator: sends configurations and evacuations until they are taken, reads back, and records each order.

It knows the addresses of those that serve `control_plane` now, and nothing else of the system.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from typing import Literal
from urllib.parse import urlsplit

from hallhitch.lab.http_wire import read_message
from hallhitch.lab.streams import Stream
from hallhitch.lab.system.owners import Address
from hallhitch.lab.system.records import Config, Order, ReadBack, Records
from hallhitch.node.clock import now

WAIT = 1000.0  # ms of silence after which another is asked
BYTES = 200.0  # bytes of a body for which it waits a ms more
ENDS = (400, 409, 412, 413, 422)
OTHER_TRIES = 3  # of any other 4xx
FOLLOWS = 2  # 307s in a row
PAUSE, PAUSE_MOST = 50.0, 1000.0  # ms between calls


class Operator:
    """One operator. `addresses`: the control planes there are now; asked before each call."""

    def __init__(self, records: Records, addresses: Callable[[], Sequence[Address]], stream: Stream) -> None:
        self._records, self._addresses, self._stream = records, addresses, stream

    async def replace(self, config: Config, limit: float = 10_000.0) -> Order:
        """Send a configuration until it has a clear answer, `limit` ms at most."""
        body = json.dumps(config).encode()
        at = now()
        status, _ = await self._until("POST", "/hallhitch/rpc?call=config.replace", body, limit)
        order = Order(at, "config", now() if status == 200 else None, config["configVersion"], config, status=status)
        self._records.orders.append(order)
        return order

    async def evacuate(self, zone: str, limit: float = 10_000.0) -> Order:
        """Ask that a zone's backends get nothing more."""
        return await self._zone("evacuate", "start", zone, limit)

    async def take_back(self, zone: str, limit: float = 10_000.0) -> Order:
        """Withdraw that."""
        return await self._zone("return", "stop", zone, limit)

    async def _zone(self, kind: Literal["evacuate", "return"], call: str, zone: str, limit: float) -> Order:
        at = now()
        status, _ = await self._until("POST", f"/hallhitch/rpc?call=evacuations.{call}&of={zone}", b"", limit)
        order = Order(at, kind, now() if 200 <= status < 300 else None, zone=zone, status=status)
        self._records.orders.append(order)
        return order

    async def read_back(self, limit: float = 10_000.0) -> ReadBack:
        """Ask for the newest configuration."""
        read = await self._read(limit)
        self._records.reads.append(read)
        return read

    async def read_if_answered(self, limit: float) -> ReadBack:
        """The same of machines that may have no majority: no answer is no breach, an overtaken one is."""
        read = await self._read(limit)
        if read.config is not None:
            self._records.reads.append(read)
        return read

    async def _read(self, limit: float) -> ReadBack:
        status, body = await self._until("POST", "/hallhitch/rpc?call=config.describe", b"", limit)
        if status != 200:
            return ReadBack(now(), None)
        try:
            return ReadBack(now(), json.loads(body))
        except ValueError:
            return ReadBack(now(), {"configVersion": -1})

    async def _until(self, method: str, target: str, body: bytes, limit: float) -> tuple[int, bytes]:
        """Ask one after the other until there is a clear answer; status 0 where there was none."""
        ends, pause, others, last = now() + limit, PAUSE, 0, 0
        number = self._stream.index(len(self._addresses()))
        while now() < ends:
            addresses = self._addresses()
            status, answer = await self._call(addresses[number % len(addresses)], method, target, body)
            if 200 <= status < 300 or status in ENDS:
                return status, answer
            if 400 <= status < 500 and status not in (408, 429):
                others += 1
                if others >= OTHER_TRIES:
                    return status, answer
            last = status or last
            number += 1
            await asyncio.sleep(pause / 1000)
            pause = min(PAUSE_MOST, pause * 1.5)
        return last if last >= 400 else 0, b""

    async def _call(self, address: Address, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        for _ in range(FOLLOWS + 1):
            try:
                async with asyncio.timeout((WAIT + len(body) / BYTES) / 1000):
                    status, headers, answer = await self._ask(address, method, target, body)
            except (OSError, EOFError, ValueError, TimeoutError):
                return 0, b""
            if status != 307:
                return status, answer
            there = urlsplit(headers.get("location", ""))
            if not there.hostname or not there.port:
                return 0, b""
            address, target = (there.hostname, there.port), f"{there.path}?{there.query}" if there.query else there.path
        return 0, b""

    async def _ask(self, address: Address, method: str, target: str, body: bytes) -> tuple[int, dict[str, str], bytes]:
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
            if body:
                head += "Content-Type: application/json\r\n"
            writer.write(f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
            first, headers, answer = await read_message(reader)
            return int(first.split()[1]), headers, answer
        finally:
            writer.close()
