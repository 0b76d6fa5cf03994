"""Discovery's agent on one gateway's machine: it answers the gateway's long polls with the updates that it has."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from typing import Any, Final

from hallhitch.decision import api
from hallhitch.lab.http_messages import Reader, Writer, encode_response, read_message
from hallhitch.lab.sockets.environment import SocketEnvironment
from hallhitch.lab.sockets.listener import Listener

MAX_HOLD_S: Final = 60.0  # of a long poll, whatever the gateway asks for
DESCRIBE_STATE: Final = {"up": "active", "drain": "leaving", "gone": "left"}  # the platform's words


def describe_host(entry: api.ServerEntry, address: str) -> dict[str, Any]:
    """Write a node's entry in the platform's form."""
    return {
        "host": entry.server,
        "dial": address,
        "site": f"zone-{entry.zone}",
        "class": "node",
        "block": entry.cell,
        "health": DESCRIBE_STATE[entry.state],
        "share": entry.weight,
        "born_ms": entry.started,
    }


class DiscoveryAgent:
    """Serves one gateway the node list: full, or the changes after a sequence number."""

    def __init__(
        self, gateway: int, environment: SocketEnvironment, describe: Callable[[api.ServerEntry], dict[str, Any]]
    ) -> None:
        self._gateway = gateway
        self._environment = environment
        self._describe = describe
        self._sequence = 1
        self._changes: list[tuple[int, api.ServerEntry]] = []  # by sequence number
        self._entries: dict[str, api.ServerEntry] = {}
        self._updated = asyncio.Event()
        self.listener = Listener(self._serve)

    async def start(self) -> DiscoveryAgent:
        """Listen, on another port each time."""
        self.listener = await Listener(self._serve).start()
        return self

    def on_server_list(self, update: api.ServerList) -> None:
        """Receive an update of discovery."""
        for entry in update.entries:
            self._sequence += 1
            self._changes.append((self._sequence, entry))
            if entry.state == "gone":
                self._entries.pop(entry.server, None)
            else:
                self._entries[entry.server] = entry
        self._updated.set()
        self._updated = asyncio.Event()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        while True:
            request_line, *_ = await read_message(reader)
            if not await self._environment.reaches(self._gateway, "discovery"):
                await reader.read(1)
                return
            query = _query(request_line)
            after = int(query.get("from", -1))
            if after >= self._sequence:
                hold_s = min(MAX_HOLD_S, float(query.get("hold_ms", 0)) / 1000)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._updated.wait(), hold_s)
            if not await self._environment.reaches(self._gateway, "discovery"):  # cut off during the long poll
                await reader.read(1)
                return
            writer.write(encode_response(200, self._list_after(after)))

    def _list_after(self, after: int) -> bytes:
        """Encode the list after a sequence number, the full one if that is negative; journals what it says."""
        is_full = after < 0
        entries = list(self._entries.values()) if is_full else [e for number, e in self._changes if number > after]
        if is_full and self._environment.world.shuffled:
            random.Random(self._gateway).shuffle(entries)
        hosts = [self._describe(entry) for entry in entries]
        body = json.dumps({"seq": self._sequence, "whole": is_full, "hosts": hosts}).encode()
        for entry in entries:
            self._environment.journal.add(self._environment.time.now, "told", self._gateway, entry.server, entry.state)
        return body


def _query(request_line: str) -> dict[str, str]:
    """Parse the query of a request line."""
    _, _, query = request_line.split()[1].partition("?")
    return dict(part.partition("=")[::2] for part in query.split("&") if part)
