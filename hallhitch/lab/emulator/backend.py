"""Emulated backends: their slots, queues and states. `backend_connection` serves their requests.

Each backend listens at its own loopback address; all share one event loop. They know nothing of the system's internals.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from hallhitch.lab.emulator.backend_connection import BackendConnection
from hallhitch.lab.emulator.response_fault import ResponseFault
from hallhitch.node.clock import now

if TYPE_CHECKING:
    from hallhitch.lab.emulator.backend_fleet import BackendFleet

COLD_CRASH_FACTOR: Final = 3.0  # a cold backend crashes above this multiple of its cold rate
COLD_WINDOW_MS: Final = 1000.0  # in which arrivals at a cold backend are counted
ACCEPT_BACKLOG: Final = 256


@dataclass(frozen=True, slots=True)
class BackendSpec:
    """The properties of the backends of one service."""

    service: str
    slots: int = 3
    queue_limit: int = 3
    work_ms: float = 40.0  # mean per request
    max_connections: int = 100
    cold_time_ms: float = 3000.0
    cold_rate_per_s: float = 12.0
    resets_when_full: bool = False
    health_path: str = "/health"
    idle_timeout_ms: float = 15_000.0  # of an idle connection
    contention_ratio: float = 0.0  # by which work takes longer when all slots are busy
    refusal_ratio: float = 0.0  # share of arrivals that are treated as if the backend were full
    refusal_copy_ratio: float = 0.0  # share of refusals that are sent twice, at once or late
    unsolicited_refusal_ratio: float = 0.0  # share of connections on which a refusal that names no request comes first


class Backend:
    """One running instance of a backend; a restart creates another one."""

    def __init__(
        self,
        fleet: BackendFleet,
        instance: str,
        spec: BackendSpec,
        address: tuple[str, int],
        location: tuple[str, str],
        is_cold: bool,
    ) -> None:
        self.fleet = fleet
        self.instance = instance
        self.spec = spec
        self.address = address
        self.zone, self.region = location
        self.started_at_ms = now()
        self.cold_until_ms = self.started_at_ms + spec.cold_time_ms if is_cold else self.started_at_ms
        self.listed_states: list[tuple[float, str]] = [(self.started_at_ms, "ready")]  # (since when in ms, state)
        self.is_draining = False
        self.has_ended = False
        self.is_healthy = True
        self.pending_faults: deque[ResponseFault] = deque()  # in the responses of the next executions
        self.busy_slots = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.connections: set[BackendConnection] = set()
        self._recent_arrivals_ms: deque[float] = deque()
        self._server: asyncio.Server | None = None

    @property
    def is_cold(self) -> bool:
        """Whether the backend is cold now."""
        return now() < self.cold_until_ms

    async def listen(self) -> None:
        """Start accepting connections."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: BackendConnection(self), *self.address, reuse_address=True, backlog=ACCEPT_BACKLOG
        )

    def end(self) -> None:
        """Stop the backend: new connections are refused, existing ones are reset."""
        self.has_ended = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def listed_state(self, moment_ms: float) -> str:
        """Return the state that the platform's list shows at a moment, or "" before the backend started."""
        return next((state for since_ms, state in reversed(self.listed_states) if since_ms <= moment_ms), "")

    def is_overloaded_by_arrival(self, arrived_at_ms: float) -> bool:
        """Count an arrival and return whether it makes a cold backend crash."""
        if not self.is_cold or not self.spec.cold_rate_per_s:
            return False
        self._recent_arrivals_ms.append(arrived_at_ms)
        while self._recent_arrivals_ms[0] < arrived_at_ms - COLD_WINDOW_MS:
            self._recent_arrivals_ms.popleft()
        return len(self._recent_arrivals_ms) > COLD_CRASH_FACTOR * self.spec.cold_rate_per_s + self.spec.slots

    async def acquire_slot(self) -> bool:
        """Wait for a slot and return True, or return False at once if the queue is full."""
        if self.busy_slots < self.spec.slots:
            self.busy_slots += 1
            return True
        if len(self.waiting) >= self.spec.queue_limit:
            return False
        slot_granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(slot_granted)
        try:
            await slot_granted
        except asyncio.CancelledError:
            if slot_granted.done() and not slot_granted.cancelled():
                self.release_slot()
            elif slot_granted in self.waiting:
                self.waiting.remove(slot_granted)
            raise
        return True

    def release_slot(self) -> None:
        """Hand the slot to the next waiting request, or free it."""
        while self.waiting:
            slot_granted = self.waiting.popleft()
            if not slot_granted.done():
                return slot_granted.set_result(None)
        self.busy_slots -= 1
        return None
