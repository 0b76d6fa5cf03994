"""Connections to backends: a pool for each life of a backend, and the attempts that they carry.

An attempt is written to one connection and ends once, with an outcome. Nothing here chooses a backend or tries again.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from hallhitch.net.flow import Flow
from hallhitch.net.http import Message
from hallhitch.planes.data.backend_connection import BackendConnection
from hallhitch.planes.data.http_messages import Room
from hallhitch.planes.data.idle_reuse import IdleReuse
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.values import Backend, Service

CONNECT_NEAR, CONNECT_FAR = 150.0, 500.0  # ms for a connection to come up, in the own region and in others
LATE = 15.0  # ms of grace for events that wait behind a busy loop
CROWDED = 30.0  # ms that an attempt waits for a connection where no more may be opened
OVERDUE = 1500.0  # ms past its end after which an attempt is given up: its backend has stopped long ago
STALLED = 10_000.0  # ms without a byte after which an answer in passing is


class Owner(Protocol):
    """Who an attempt belongs to."""

    def passing(self, attempt: Attempt, answer: Message) -> None:
        """Its long answer has begun to come; the attempt ends with the answer's body."""

    def ended(self, attempt: Attempt, outcome: Outcome, answer: Message | None) -> None:
        """It is over; OK, FAILED and DECLINED bring the answer, unless it passed."""


class Attempt:
    """One request on its way to one backend."""

    __slots__ = (
        "owner",
        "backend",
        "unsafe",
        "ends",
        "method",
        "request_id",
        "shared",
        "body",
        "flow",
        "began",
        "written",
        "over",
        "connection",
        "lag",
        "patience",
        "silent",
    )

    def __init__(
        self,
        owner: Owner,
        backend: Backend,
        *,
        unsafe: bool,
        ends: float,
        method: bytes,
        request_id: bytes | None,
        shared: bytes,
        body: bytes,
        flow: Flow | None,
        began: float,
        patience: float,
    ) -> None:
        """`shared` is the head's part that all attempts have in common; moments are steady ms."""
        self.owner, self.backend, self.unsafe, self.ends = owner, backend, unsafe, ends
        self.method, self.request_id, self.shared, self.body, self.flow = method, request_id, shared, body, flow
        self.began, self.patience = began, patience
        self.written: float | None = None  # when; None = no byte of it went out
        self.over = False
        self.silent = False  # whether its owner gave up waiting for it alone
        self.lag = 0.0  # ms from its writing to its answer
        self.connection: BackendConnection | None = None

    def end(self, now: float, outcome: Outcome, answer: Message | None = None) -> None:
        """Tell its owner, once."""
        if not self.over:
            self.over = True
            self.lag = self.lag or now - (self.written if self.written is not None else self.began)
            self.owner.ended(self, outcome, answer)


class ConnectionPool:
    """The connections to one life of a backend."""

    def __init__(self, pools: ConnectionPools, backend: Backend) -> None:
        self.pools, self.backend = pools, backend
        self.idle: list[BackendConnection] = []  # the newest last
        self.connections: set[BackendConnection] = set()
        self.waiting: deque[Attempt] = deque()  # for a connection
        self.opening = 0
        self.retired = False

    @property
    def trust(self) -> IdleReuse:
        """What is known of the service's resting connections."""
        return self.pools.trust_of(self.backend.service)

    def send(self, attempt: Attempt) -> None:
        """Carry it on a connection that rests, or on a new one; it may be over when this returns."""
        if self.retired:
            return attempt.end(self.pools.clock(), Outcome.CANCELLED)
        connection = self._pick(attempt.unsafe)
        if connection is not None:
            return connection.carry(attempt)
        self.waiting.append(attempt)
        if self.opening >= len(self.waiting):
            return
        if self._room():
            self._open()
            return
        connection = self._pick(False)
        if connection is not None:  # an older one is better than none
            self.waiting.remove(attempt)
            connection.carry(attempt)
        elif not self.opening:
            asyncio.get_running_loop().call_later(CROWDED / 1000, self.take_back, attempt)

    def take_back(self, attempt: Attempt) -> bool:
        """Let it go if nothing of it was written; whether so."""
        if attempt.written is None and not attempt.over and attempt in self.waiting:
            self.waiting.remove(attempt)
            attempt.end(self.pools.clock(), Outcome.CANCELLED)
            return True
        return False

    def _pick(self, unsafe: bool) -> BackendConnection | None:
        now, trust = self.pools.clock(), self.trust
        while self.idle:
            connection = self.idle[-1]
            if connection.usable():
                if now - connection.idle_since > trust.max_idle_ms(now, connection.told, unsafe):
                    return None  # the others have rested longer
                return self.idle.pop()
            connection.close()
        return None

    def _room(self) -> bool:
        return len(self.connections) + self.opening < self.pools.most_for(self.backend.service) and self.pools.room()

    def _open(self) -> None:
        self.opening += 1
        self.pools.opening += 1
        self.pools.count("opened")
        task = asyncio.get_running_loop().create_task(self._connect())
        self.pools.tasks.add(task)
        task.add_done_callback(self.pools.tasks.discard)

    async def _connect(self) -> None:
        loop, backend = asyncio.get_running_loop(), self.backend
        most = CONNECT_NEAR if backend.region == self.pools.region else CONNECT_FAR
        connecting = loop.create_task(
            loop.create_connection(lambda: BackendConnection(self), backend.host, backend.port)
        )
        connection: BackendConnection | None = None
        try:
            done, _ = await asyncio.wait((connecting,), timeout=most / 1000)
            if not done:  # it may be our own loop that was late
                await asyncio.wait((connecting,), timeout=LATE / 1000)
            if connecting.done():
                connection = connecting.result()[1]
            else:
                connecting.cancel()
        except OSError:
            pass
        finally:
            self.opening -= 1
            self.pools.opening -= 1
        if connection is not None and connection.usable():
            self.free(connection)
        else:
            self._unreachable()

    def _unreachable(self) -> None:
        """One connection did not come up: whoever waits, and for no other that may, knows."""
        now = self.pools.clock()
        self.pools.count("unreachable")
        while len(self.waiting) > self.opening:
            self.waiting.popleft().end(now, Outcome.UNREACHABLE)

    def free(self, connection: BackendConnection) -> None:
        """A connection has nothing to carry: whoever waits longest gets it."""
        now = self.pools.clock()
        while self.waiting:
            attempt = self.waiting.popleft()
            if self.retired or attempt.ends - now < 1:
                attempt.end(now, Outcome.CANCELLED)
                continue
            return connection.carry(attempt)
        if self.retired:
            return connection.close()
        connection.idle_since = now
        self.idle.append(connection)

    def gone(self, connection: BackendConnection) -> None:
        """A connection is closed."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.pools.open -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self.pools.drop_if_done(self)
        if self.waiting and not self.opening and self._room():
            self._open()

    def retire(self) -> None:
        """Its backend is leaving or gone: nothing new goes there, what is out ends by itself."""
        self.retired = True
        for connection in list(self.idle):
            connection.close()
        now = self.pools.clock()
        while self.waiting:
            self.waiting.popleft().end(now, Outcome.CANCELLED)
        self.pools.drop_if_done(self)

    def sweep(self, now: float) -> None:
        """Close what rested too long, give up what never ends."""
        while self.idle and now - self.idle[0].idle_since > self.trust.max_idle_ms(now, self.idle[0].told, False):
            self.idle[0].close()
        for connection in [connection for connection in self.connections if connection.attempt is not None]:
            attempt = connection.attempt
            stalled = connection.flow is not None and now - connection.heard > STALLED
            if attempt is not None and now > attempt.ends + OVERDUE and (connection.flow is None or stalled):
                connection.give_up()


class ConnectionPools:
    """All connections to backends."""

    def __init__(
        self,
        clock: Callable[[], float],
        region: str,
        most: int,
        figures: dict[str, int],
        room: Room,
    ) -> None:
        """`most` bounds all connections together, resting ones too; `room` is for answers held whole."""
        self.clock, self.region, self.most, self.figures = clock, region, most, figures
        self.room_for_bodies = room
        self.open = self.opening = 0  # connections
        self.tasks: set[asyncio.Task[None]] = set()
        self._pools: dict[str, ConnectionPool] = {}
        self._leaving: set[ConnectionPool] = set()  # retired, with something still out
        self._trust: dict[str, IdleReuse] = {}
        self._services: Mapping[str, Service] = {}
        self._gateways = 1

    def count(self, name: str) -> None:
        """Add one to a figure."""
        self.figures[name] = self.figures.get(name, 0) + 1

    def services(self, services: Mapping[str, Service]) -> None:
        """The services of the configuration: how many connections their backends take."""
        self._services = services
        self._trust = {name: trust for name, trust in self._trust.items() if name in services}

    def gateways(self, number: int) -> None:
        """How many gateways share the backends."""
        self._gateways = max(1, number)

    def backends(self, entries: Iterable[Backend]) -> None:
        """All backends there are; connections to others, and to those that leave, are let go once they rest."""
        there = {entry.instance: entry for entry in entries if not entry.is_draining}
        for instance, pool in list(self._pools.items()):
            entry = there.get(instance)
            old = pool.backend
            if entry is None or (entry.host, entry.port, entry.service) != (old.host, old.port, old.service):
                del self._pools[instance]
                self._leaving.add(pool)
                pool.retire()
            else:
                pool.backend = entry
        for instance, entry in there.items():
            if instance not in self._pools:
                self._pools[instance] = ConnectionPool(self, entry)

    def send(self, attempt: Attempt) -> None:
        """Carry an attempt to its backend; VOID where there is no such backend any more."""
        pool = self._pools.get(attempt.backend.instance)
        if pool is None:
            attempt.end(self.clock(), Outcome.CANCELLED)
        else:
            pool.send(attempt)

    def take_back(self, attempt: Attempt) -> bool:
        """End an attempt as VOID if nothing of it was written; whether so."""
        pool = self._pools.get(attempt.backend.instance)
        return pool is not None and pool.take_back(attempt)

    def trust_of(self, service: str) -> IdleReuse:
        """What is known of one service's resting connections."""
        trust = self._trust.get(service)
        if trust is None:
            trust = self._trust[service] = IdleReuse()
        return trust

    def most_for(self, service: str) -> int:
        """How many connections this gateway opens to one backend of a service."""
        entry = self._services.get(service)
        return max(2, entry.max_connections // (2 * self._gateways)) if entry is not None else 2

    def room(self) -> bool:
        """Whether one more may be opened; the one that rested longest makes room if need be."""
        if self.open + self.opening < self.most:
            return True
        oldest = min(
            (pool.idle[0] for pool in self._pools.values() if pool.idle),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def drop_if_done(self, pool: ConnectionPool) -> None:
        """Forget a retired pool that has nothing open."""
        if pool.retired and not pool.connections and not pool.opening:
            self._leaving.discard(pool)

    def sweep(self, now: float) -> None:
        """Look after all connections; to be called a few times a second."""
        for pool in [*self._pools.values(), *self._leaving]:
            if pool.connections:
                pool.sweep(now)
            self.drop_if_done(pool)

    def close(self) -> None:
        """Close everything, whatever is out."""
        for pool in [*self._pools.values(), *self._leaving]:
            pool.retire()
            for connection in list(pool.connections):
                connection.close()
