"""The platform's endpoint list in a simulation: a server on the simulated network, and backends that drain on schedule.

The list shows a backend as draining from a given virtual time on, and as gone some seconds later. Partitions do not cut
the platform off. Times are virtual seconds.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from hallhitch.lab.http_messages import encode_response
from hallhitch.lab.simulation.transport import SimulatedTransport

if TYPE_CHECKING:
    from hallhitch.lab.simulation.network import Network

PLATFORM_HOST: Final = "platform"
PLATFORM_PORT: Final = 8382
LISTED_WHILE_DRAINING_S: Final = 8.0  # longer than the drain time-out; afterwards the backend is gone
MAX_DRAIN_INTERVAL_S: Final = 0.3
STABLE_BACKENDS: Final = 20  # that never drain
COLUMN_NAMES: Final = ("instanceId", "targetService", "address", "zone", "slotCount", "state")


@dataclass(frozen=True, slots=True)
class Drain:
    """A backend that the list shows as draining from a virtual time on."""

    instance: str
    listed_at_s: float


def draw_drains(rng: random.Random, begin_s: float, end_s: float) -> tuple[Drain, ...]:
    """Draw drains that are listed between two times, at random intervals of up to MAX_DRAIN_INTERVAL_S."""
    drains: list[Drain] = []
    listed_at_s = begin_s
    while listed_at_s < end_s:
        drains.append(Drain(f"drained-{len(drains)}", listed_at_s))
        listed_at_s += rng.uniform(0.0, MAX_DRAIN_INTERVAL_S)
    return tuple(drains)


class SimulatedPlatform:
    """The server of the endpoint list."""

    def __init__(self, network: Network, drains: tuple[Drain, ...]) -> None:
        self.drains = drains
        self._network = network
        self._connections: list[_PlatformConnection] = []

    def serve_connection(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        connection = _PlatformConnection(self.respond)
        self._connections.append(connection)
        return connection

    def forget_connections(self) -> None:
        """Never respond again on the open connections, as after a middlebox has dropped them silently."""
        for connection in self._connections:
            connection.is_forgotten = True

    def respond(self) -> bytes:
        """Return the response to a request for the list."""
        now_s = self._network.now_s
        rows = [self._row(f"stable-{number}", "ready") for number in range(STABLE_BACKENDS)]
        for drain in self.drains:
            if now_s < drain.listed_at_s:
                rows.append(self._row(drain.instance, "ready"))
            elif now_s < drain.listed_at_s + LISTED_WHILE_DRAINING_S:
                rows.append(self._row(drain.instance, "draining"))
        table = {"instances": {"columnNames": COLUMN_NAMES, "rowValues": rows}, "nextPageToken": None}
        return encode_response(200, json.dumps(table).encode())

    def _row(self, instance: str, state: str) -> tuple[object, ...]:
        return (instance, "s", "10.9.0.1:80", "viti-a", 4, state)


class _PlatformConnection(asyncio.Protocol):
    """One connection of a coordinator: a response for each request."""

    def __init__(self, respond: Callable[[], bytes]) -> None:
        self.is_forgotten = False
        self._respond = respond
        self._received = b""
        self._transport: SimulatedTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, SimulatedTransport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Respond to each complete request."""
        if self.is_forgotten:
            return
        self._received += data
        while b"\r\n\r\n" in self._received:
            _, _, self._received = self._received.partition(b"\r\n\r\n")
            if self._transport is not None:
                self._transport.write(self._respond())
