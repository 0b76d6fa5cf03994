"""The discovery agent on one gateway's machine. It answers the gateway's long polls with the updates it received."""

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

MAX_HOLD_S: Final = 60.0  # upper bound on a long poll, whatever the gateway requests
PLATFORM_STATES: Final = {"up": "active", "drain": "leaving", "gone": "left"}  # the platform's names of node states


def describe_host(entry: api.ServerEntry, address: str) -> dict[str, Any]:
    """Convert a node's entry to the platform's discovery format."""
    return {
        "host": entry.server,
        "dial": address,
        "site": f"zone-{entry.zone}",
        "class": "node",
        "block": entry.cell,
        "health": PLATFORM_STATES[entry.state],
        "share": entry.weight,
        "born_ms": entry.started,
    }


class DiscoveryAgent:
    """Serves the node list to one gateway: the full list, or the changes after a sequence number."""

    def __init__(
        self, gateway: int, environment: SocketEnvironment, describe: Callable[[api.ServerEntry], dict[str, Any]]
    ) -> None:
        self._gateway = gateway
        self._environment = environment
        self._describe = describe
        self._sequence = 1
        self._changes: list[tuple[int, api.ServerEntry]] = []  # sequence number and entry, in order
        self._entries: dict[str, api.ServerEntry] = {}
        self._updated = asyncio.Event()
        self.listener = Listener(self._serve)

    async def start(self) -> DiscoveryAgent:
        """Start listening on a free port; a restart gets a new port."""
        self.listener = await Listener(self._serve).start()
        return self

    def on_server_list(self, update: api.ServerList) -> None:
        """Apply an update from discovery and wake the waiting long polls."""
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
            query = _parse_query(request_line)
            after = int(query.get("from", -1))
            if after >= self._sequence:
                hold_s = min(MAX_HOLD_S, float(query.get("hold_ms", 0)) / 1000)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._updated.wait(), hold_s)
            if not await self._environment.reaches(self._gateway, "discovery"):  # the link was cut during the long poll
                await reader.read(1)
                return
            writer.write(encode_response(200, self._encode_list_after(after)))

    def _encode_list_after(self, after: int) -> bytes:
        """Encode the changes after a sequence number, or the full list if it is negative, and journal each entry."""
        is_full = after < 0
        entries = list(self._entries.values()) if is_full else [e for number, e in self._changes if number > after]
        if is_full and self._environment.world.shuffled:
            random.Random(self._gateway).shuffle(entries)
        hosts = [self._describe(entry) for entry in entries]
        body = json.dumps({"seq": self._sequence, "whole": is_full, "hosts": hosts}).encode()
        for entry in entries:
            self._environment.journal.add(self._environment.time.now, "told", self._gateway, entry.server, entry.state)
        return body


def _parse_query(request_line: str) -> dict[str, str]:
    """Parse the query parameters of a request line."""
    _, _, query = request_line.split()[1].partition("?")
    return dict(part.partition("=")[::2] for part in query.split("&") if part)
