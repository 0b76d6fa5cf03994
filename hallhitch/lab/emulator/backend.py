"""Emulated backends: their slots, queues and states. `backend_connection` serves their requests.

Each runs at a loopback address of its own; all share one event loop. Nothing here knows how the system works.
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

COLD_CRASH_FACTOR: Final = 3.0  # times its cold rate within a second: a cold backend crashes
COLD_WINDOW_MS: Final = 1000.0
ACCEPT_BACKLOG: Final = 256


@dataclass(frozen=True, slots=True)
class BackendSpec:
    """The backends of one service."""

    service: str
    slots: int = 3
    queue_limit: int = 3
    work_ms: float = 40.0  # of a request, on the mean
    max_connections: int = 100
    cold_time_ms: float = 3000.0
    cold_rate_per_s: float = 12.0
    resets_when_full: bool = False
    health_path: str = "/health"
    idle_timeout_ms: float = 15_000.0  # of a connection
    crowding_ratio: float = 0.0  # by which work grows as its slots fill


class Backend:
    """One incarnation of a backend."""

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
        self.listed_states: list[tuple[float, str]] = [(self.started_at_ms, "ready")]  # (since when, state)
        self.is_draining = False
        self.has_ended = False
        self.is_healthy = True
        self.pending_faults: deque[ResponseFault] = deque()  # of the next executions
        self.busy_slots = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.connections: set[BackendConnection] = set()
        self._recent_arrivals_ms: deque[float] = deque()
        self._server: asyncio.Server | None = None

    @property
    def is_cold(self) -> bool:
        """Whether it is cold now."""
        return now() < self.cold_until_ms

    async def listen(self) -> None:
        """Accept connections."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: BackendConnection(self), *self.address, reuse_address=True, backlog=ACCEPT_BACKLOG
        )

    def end(self) -> None:
        """End its process: addresses refuse, connections break."""
        self.has_ended = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def listed_state(self, moment_ms: float) -> str:
        """Return the state that the list had of it at a moment; "" = not known yet."""
        return next((state for since_ms, state in reversed(self.listed_states) if since_ms <= moment_ms), "")

    def is_overrun_by_arrival(self, arrived_at_ms: float) -> bool:
        """Count an arrival; whether it is more than a cold backend survives."""
        if not self.is_cold or not self.spec.cold_rate_per_s:
            return False
        self._recent_arrivals_ms.append(arrived_at_ms)
        while self._recent_arrivals_ms[0] < arrived_at_ms - COLD_WINDOW_MS:
            self._recent_arrivals_ms.popleft()
        return len(self._recent_arrivals_ms) > COLD_CRASH_FACTOR * self.spec.cold_rate_per_s + self.spec.slots

    async def acquire_slot(self) -> bool:
        """Wait for a slot; return False where the queue is full."""
        if self.busy_slots < self.spec.slots:
            self.busy_slots += 1
            return True
        if len(self.waiting) >= self.spec.queue_limit:
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release_slot()
            elif turn in self.waiting:
                self.waiting.remove(turn)
            raise
        return True

    def release_slot(self) -> None:
        """Hand the slot to the next that waits, or free it."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                return turn.set_result(None)
        self.busy_slots -= 1
        return None
