"""A modelled node: processor sharing among the requests in service, a bounded queue, slow start and faults.

Invariants: at most `world.slots` requests are in service and `world.queue` wait; every request taken gets exactly one
reply. Work is measured in ms of one core, times in ms. Processor sharing is kept by attained service: all requests in
service advance at one rate, so each is complete when the node's attained service reaches its own mark.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, Protocol

from hallhitch.lab.journal import Journal
from hallhitch.lab.scenario import WorldSettings
from hallhitch.lab.streams import Stream

WARM_UP_STEP_MS: Final = 250.0  # between updates of a warming node's speed: fine enough beside seconds of warm-up
QUICK_FAILURE_MS: Final = (1.0, 4.0)  # that a quick failure takes: far less than any request
MIN_EFFICIENCY: Final = 0.2  # that is left of a node's speed, however many requests it holds
SERVICE_TOLERANCE_MS: Final = 1e-6  # rounding of attained service, by which a request counts as complete


class NodeState(StrEnum):
    """States of a node, as the journal has them."""

    UP = "up"
    DRAINING = "drain"
    DOWN = "down"
    OVERLOADED = "fell"  # while warming up it was sent far more than it can do, and went down


DOWN_STATES: Final = (NodeState.DOWN, NodeState.OVERLOADED)


@dataclass(frozen=True, slots=True)
class NodeFault:
    """The attribute of a node that a fault changes, and its value without the fault."""

    attribute: str
    normal_value: float | bool


NODE_FAULTS: Final = {  # by the kinds of a scenario's faults
    "slow": NodeFault("slowdown", 1.0),
    "stall": NodeFault("is_stalled", False),
    "quick_failures": NodeFault("failure_probability", 0.0),
    "spoilt": NodeFault("malformed_probability", 0.0),
    "twice": NodeFault("double_reply_probability", 0.0),
}


class Time(Protocol):
    """The clock and scheduler of the models: virtual, or an event loop's."""

    @property
    def now(self) -> float:
        """Return the present moment in ms."""

    def after(self, delay: float, callback: Callable[..., object], /, *args: object) -> object:
        """Call back after a delay in ms; return what cancels it."""


@dataclass(slots=True, eq=False)
class Work:
    """A request at a node. `on_reply` gets one outcome (ok, full, error, reset, spoilt or twice) and its own id."""

    id: int
    attempt_number: int
    service_ms: float  # of one core
    ends_at: float  # when its sender stops waiting: its service does not begin after that
    key: str
    repeat_window_ms: float  # 0 for classes without idempotency keys
    has_effect: bool
    on_reply: Callable[[str, int], None]
    completes_at_service: float = 0.0  # the node's attained service at which it is complete


@dataclass(slots=True, eq=False)
class Pod:
    """Nodes that share idempotency keys: when each key was last executed."""

    executed_at: dict[str, float] = field(default_factory=dict)

    def is_repeat(self, key: str, now: float, window_ms: float) -> bool:
        """Whether the key was executed within the window; otherwise it is recorded as executed now."""
        previous = self.executed_at.get(key)
        if previous is not None and now - previous <= window_ms:
            return True
        self.executed_at[key] = now
        return False


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """What stays the same when a node restarts."""

    name: str
    cell: int
    zone: int
    speed: float  # relative to the scenario's cores


@dataclass(frozen=True, slots=True)
class NodeEnvironment:
    """The parts of a run that a node acts on."""

    world: WorldSettings
    pod: Pod
    time: Time
    journal: Journal
    stream: Stream


class Node:
    """One node. Requests in service share its cores evenly; the more requests it holds, the slower it is overall."""

    def __init__(self, identity: NodeIdentity, environment: NodeEnvironment, started_at: float = 0.0) -> None:
        """Start the node; with `started_at` 0 it started long ago and is warm."""
        self.name = identity.name
        self.cell = identity.cell
        self.zone = identity.zone
        self.started_at = started_at
        self._identity = identity
        self._environment = environment
        self._world = environment.world
        self._time = environment.time
        self._journal = environment.journal
        self._stream = environment.stream
        self.state = NodeState.UP
        self.slowdown = 1.0
        self.failure_probability = 0.0
        self.malformed_probability = 0.0
        self.double_reply_probability = 0.0
        self.is_stalled = False
        self.connections = 0
        self.effects: dict[str, int] = {}  # executions with an effect, by key
        self._in_service: list[tuple[float, int, Work]] = []  # heap by attained service at completion
        self._queue: deque[Work] = deque()
        self._attained_service = 0.0
        self._attained_at = self._time.now
        self._sequence = 0
        self._timer_sequence: int | None = None  # of the one timer that counts
        self._warm_up_arrivals: deque[tuple[float, float]] = deque()  # time and work, within the overload window
        warm_up_ms = self._world.cold_s * 1000 if started_at else 0.0
        self._journal.add(self._time.now, "node", self.name, "up", self.cell, self.capacity, warm_up_ms)
        if started_at:
            self._time.after(WARM_UP_STEP_MS, self._warm_up)

    def restarted(self, now: float) -> Node:
        """Make the node that replaces this one under the same name, started now."""
        return Node(self._identity, self._environment, now)

    @property
    def capacity(self) -> float:
        """Cores' worth of work that it can do now."""
        return self._world.cores * self._identity.speed * self.warmth / self.slowdown

    @property
    def warmth(self) -> float:
        """Ratio of its speed that a warming node has, from `world.cold_from` up to 1."""
        warm_up_ms = self._world.cold_s * 1000
        if not self.started_at or not warm_up_ms:
            return 1.0
        progress = min(1.0, (self._time.now - self.started_at) / warm_up_ms)
        return self._world.cold_from + (1 - self._world.cold_from) * progress

    @property
    def request_count(self) -> int:
        """Requests in service and queued."""
        return len(self._in_service) + len(self._queue)

    def take(self, work: Work) -> None:
        """Receive a complete request."""
        now = self._time.now
        self._journal.add(now, "arrive", work.id, work.attempt_number, self.name, round(work.service_ms, 3))
        if self.state in DOWN_STATES:
            return work.on_reply("reset", 0)
        if self.warmth < 1:
            self._check_warm_up_overload(now, work.service_ms)
            if self.state is NodeState.OVERLOADED:
                return work.on_reply("reset", 0)
        if self.state is NodeState.DRAINING or self.request_count >= self._world.slots + self._world.queue:
            return work.on_reply("full", 0)
        if self.failure_probability and self._stream.chance(self.failure_probability):
            self._time.after(self._stream.uniform(*QUICK_FAILURE_MS), work.on_reply, "error", 0)
            return None
        self._update_service()
        if len(self._in_service) < self._world.slots:
            self._begin(work)
        else:
            self._queue.append(work)
        self._arm_timer()
        return None

    def stop(self, state: NodeState) -> None:
        """Go down: all requests that it holds are reset."""
        self._update_service()
        self.state = state
        self._journal.add(self._time.now, "node", self.name, state.value, self.cell, 0.0, 0.0)
        lost = [work for _, _, work in self._in_service] + list(self._queue)
        self._in_service, self._queue = [], deque()
        for work in lost:
            work.on_reply("reset", 0)

    def drain(self) -> None:
        """Finish the requests that it holds, and accept no others."""
        self.state = NodeState.DRAINING
        self._journal.add(self._time.now, "node", self.name, "drain", self.cell, self.capacity, 0.0)

    def fail(self, kind: str, size: float) -> None:
        """Begin a fault of `NODE_FAULTS`."""
        self._change(NODE_FAULTS[kind].attribute, True if kind == "stall" else size)

    def recover(self, kind: str) -> None:
        """End a fault of `NODE_FAULTS`."""
        fault = NODE_FAULTS[kind]
        self._change(fault.attribute, fault.normal_value)

    def charge(self, work_ms: float) -> None:
        """Account for work that belongs to no request, such as a handshake."""
        self._update_service()
        self._attained_service -= work_ms / max(1, len(self._in_service))
        self._arm_timer()

    def _change(self, attribute: str, value: float | bool) -> None:
        self._update_service()
        setattr(self, attribute, value)
        self._arm_timer()

    def _check_warm_up_overload(self, now: float, work_ms: float) -> None:
        """Go down if far more work than a warming node can do arrived within the window."""
        window_ms = self._world.fall_ms
        self._warm_up_arrivals.append((now, work_ms))
        while self._warm_up_arrivals[0][0] < now - window_ms:
            self._warm_up_arrivals.popleft()
        total_ms = sum(arrived_ms for _, arrived_ms in self._warm_up_arrivals)
        if total_ms > self._world.fall_multiple * self.capacity * window_ms:
            self.stop(NodeState.OVERLOADED)

    def _begin(self, work: Work) -> None:
        self._sequence += 1
        work.completes_at_service = self._attained_service + work.service_ms
        heapq.heappush(self._in_service, (work.completes_at_service, self._sequence, work))

    def _service_rate(self) -> float:
        """Service per ms that each request in service gets."""
        if self.is_stalled or not self._in_service:
            return 0.0
        efficiency = max(MIN_EFFICIENCY, 1 - self._world.crowding * self.request_count)
        return min(1.0, self.capacity * efficiency / len(self._in_service))

    def _update_service(self) -> None:
        """Bring the attained service up to now."""
        now = self._time.now
        self._attained_service += (now - self._attained_at) * self._service_rate()
        self._attained_at = now

    def _arm_timer(self) -> None:
        """Set the timer for the first completion; earlier timers no longer count."""
        rate = self._service_rate()
        if rate > 0:
            self._sequence += 1
            self._timer_sequence = sequence = self._sequence
            remaining_service = self._in_service[0][0] - self._attained_service
            self._time.after(max(0.0, remaining_service / rate), self._on_timer, sequence)

    def _on_timer(self, sequence: int) -> None:
        if sequence != self._timer_sequence:
            return
        self._update_service()
        complete = []
        while self._in_service and self._in_service[0][0] <= self._attained_service + SERVICE_TOLERANCE_MS:
            complete.append(heapq.heappop(self._in_service)[2])
        while self._queue and len(self._in_service) < self._world.slots:
            work = self._queue.popleft()
            if work.ends_at <= self._time.now:
                work.on_reply("full", 0)  # its sender waits no longer
            else:
                self._begin(work)
        self._arm_timer()
        for work in complete:
            self._finish(work)

    def _finish(self, work: Work) -> None:
        now = self._time.now
        is_repeat = bool(work.repeat_window_ms) and self._environment.pod.is_repeat(
            work.key, now, work.repeat_window_ms
        )
        has_effect = work.has_effect and not is_repeat
        if has_effect:
            self.effects[work.key] = self.effects.get(work.key, 0) + 1
        self._journal.add(now, "run", work.id, self.name, work.key, has_effect)
        if self.malformed_probability and self._stream.chance(self.malformed_probability):
            return work.on_reply("spoilt", 0)
        if self.double_reply_probability and self._stream.chance(self.double_reply_probability):
            return work.on_reply("twice", work.id)
        work.on_reply("ok", work.id)
        return None

    def _warm_up(self) -> None:
        """Adjust the completion times as a warming node's speed rises."""
        if self.state in DOWN_STATES:
            return
        self._update_service()
        self._arm_timer()
        if self.warmth < 1:
            self._time.after(WARM_UP_STEP_MS, self._warm_up)
