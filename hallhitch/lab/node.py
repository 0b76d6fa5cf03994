"""A check node: cores shared by what is in work, a bounded queue, cold starts, faults, and the keys of its pod."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from hallhitch.lab.journal import Journal
from hallhitch.lab.scenario import World
from hallhitch.lab.streams import Stream

COLD_STEP = 250.0  # ms between looks at a cold node's speed
QUICK = (1.0, 4.0)  # ms that a quick failure takes
# Faults of nodes: what each changes, and how it is without.
NODE_FAULTS: dict[str, tuple[str, float | bool]] = {
    "slow": ("slow", 1.0),
    "stall": ("stalled", False),
    "quick_failures": ("failing", 0.0),
    "spoilt": ("spoiling", 0.0),
    "twice": ("doubling", 0.0),
}


class Time(Protocol):
    """What the model needs of time: virtual, or an event loop's."""

    @property
    def now(self) -> float: ...

    def after(self, delay: float, callback: Callable[..., object], /, *args: object) -> object: ...


@dataclass(slots=True, eq=False)
class Work:
    """A request at a node. `reply` is called once with an outcome: ok, error, full, reset, spoilt or twice."""

    id: int
    number: int
    work: float  # ms of one core
    ends: float  # when its sender stops waiting: not begun after that
    key: str
    window: float  # 0 where the class has no keys
    effects: bool
    reply: Callable[[str, int], None]
    until: float = 0.0  # the node's attained service at which it is done


@dataclass(slots=True, eq=False)
class Pod:
    """Nodes that know each other's keys: when each was last carried out."""

    keys: dict[str, float] = field(default_factory=dict)

    def repeat(self, key: str, now: float, window: float) -> bool:
        """Whether the key was carried out within the window; notes it otherwise."""
        was = self.keys.get(key)
        if was is not None and now - was <= window:
            return True
        self.keys[key] = now
        return False


class Node:
    """One node. Work shares the cores evenly; the more a node holds, the slower it is in all."""

    def __init__(
        self,
        name: str,
        world: World,
        pod: Pod,
        cell: int,
        zone: int,
        speed: float,
        time: Time,
        journal: Journal,
        stream: Stream,
        born: float = 0.0,
    ) -> None:
        self.name, self.cell, self.zone, self.born = name, cell, zone, born
        self._world, self._pod, self._time, self._journal, self._stream = world, pod, time, journal, stream
        self._speed = speed
        self.state = "up"
        self.slow = 1.0
        self.failing = self.spoiling = self.doubling = 0.0
        self.stalled = False
        self.connections = 0
        self._busy: list[tuple[float, int, Work]] = []  # by attained service at their end
        self._queue: deque[Work] = deque()
        self._attained, self._at, self._number = 0.0, time.now, 0
        self._timer: object = None
        self._arrived: deque[tuple[float, float]] = deque()  # work of the last window, while cold
        self.effects: dict[str, int] = {}
        journal.add(time.now, "node", name, "up", cell, self.capacity, world.cold_s * 1000 if born else 0.0)
        if born:
            time.after(COLD_STEP, self._warm)

    def again(self, now: float) -> Node:
        """The same node, started now, in place of this one."""
        return Node(
            self.name,
            self._world,
            self._pod,
            self.cell,
            self.zone,
            self._speed,
            self._time,
            self._journal,
            self._stream,
            now,
        )

    @property
    def capacity(self) -> float:
        """Cores' worth of work it can do now."""
        return self._world.cores * self._speed * self.warmth / self.slow

    @property
    def warmth(self) -> float:
        """From the cold share up to 1."""
        cold = self._world.cold_s * 1000
        if not self.born or not cold:
            return 1.0
        done = min(1.0, (self._time.now - self.born) / cold)
        return self._world.cold_from + (1 - self._world.cold_from) * done

    @property
    def held(self) -> int:
        """Requests in work and waiting."""
        return len(self._busy) + len(self._queue)

    def take(self, work: Work) -> None:
        """A request has come whole."""
        now = self._time.now
        self._journal.add(now, "arrive", work.id, work.number, self.name, round(work.work, 3))
        if self.state in ("down", "fell"):
            return work.reply("reset", 0)
        if self.warmth < 1:
            self._note_cold(now, work.work)
            if self.state == "fell":
                return work.reply("reset", 0)
        if self.state == "drain" or self.held >= self._world.slots + self._world.queue:
            return work.reply("full", 0)
        if self.failing and self._stream.chance(self.failing):
            self._time.after(self._stream.between(*QUICK), work.reply, "error", 0)
            return
        self._progress()
        if len(self._busy) < self._world.slots:
            self._begin(work)
        else:
            self._queue.append(work)
        self._arm()

    def stop(self, state: str) -> None:
        """Crash or be gone: all that it holds breaks."""
        self._progress()
        self.state = state
        self._journal.add(self._time.now, "node", self.name, state, self.cell, 0.0, 0.0)
        broken = [work for _, _, work in self._busy] + list(self._queue)
        self._busy, self._queue = [], deque()
        for work in broken:
            work.reply("reset", 0)

    def drain(self) -> None:
        """Finish what it has, take nothing new."""
        self.state = "drain"
        self._journal.add(self._time.now, "node", self.name, "drain", self.cell, self.capacity, 0.0)

    def fail(self, kind: str, size: float) -> None:
        """A fault of `NODE_FAULTS` begins."""
        self._change(NODE_FAULTS[kind][0], True if kind == "stall" else size)

    def recover(self, kind: str) -> None:
        """It ends."""
        self._change(*NODE_FAULTS[kind])

    def _change(self, field: str, value: float | bool) -> None:
        """Work otherwise from now on."""
        self._progress()
        setattr(self, field, value)
        self._arm()

    def charge(self, work: float) -> None:
        """Work that is no request's: a handshake or a probe."""
        self._progress()
        self._attained -= work / max(1, len(self._busy))
        self._arm()

    def _note_cold(self, now: float, work: float) -> None:
        """A cold node that is sent far more than it can do falls over, and stays down."""
        self._arrived.append((now, work))
        while self._arrived[0][0] < now - self._world.fall_ms:
            self._arrived.popleft()
        total = sum(work for _, work in self._arrived)
        if total > self._world.fall_multiple * self.capacity * self._world.fall_ms:
            self.stop("fell")

    def _begin(self, work: Work) -> None:
        self._number += 1
        work.until = self._attained + work.work
        heapq.heappush(self._busy, (work.until, self._number, work))

    def _rate(self) -> float:
        """Service that each request in work gets in a ms."""
        if self.stalled or not self._busy:
            return 0.0
        crowd = max(0.2, 1 - self._world.crowding * self.held)
        return min(1.0, self.capacity * crowd / len(self._busy))

    def _progress(self) -> None:
        """Bring the service up to now."""
        now = self._time.now
        self._attained += (now - self._at) * self._rate()
        self._at = now

    def _arm(self) -> None:
        """Wake when the first is done."""
        rate = self._rate()
        if rate > 0:
            self._number += 1
            self._timer = mark = self._number
            self._time.after(max(0.0, (self._busy[0][0] - self._attained) / rate), self._wake, mark)

    def _wake(self, mark: int) -> None:
        if mark != self._timer:
            return
        self._progress()
        done = []
        while self._busy and self._busy[0][0] <= self._attained + 1e-6:
            done.append(heapq.heappop(self._busy)[2])
        while self._queue and len(self._busy) < self._world.slots:
            work = self._queue.popleft()
            if work.ends <= self._time.now:
                work.reply("full", 0)  # its time has passed: never begun
            else:
                self._begin(work)
        self._arm()
        for work in done:
            self._finish(work)

    def _finish(self, work: Work) -> None:
        repeat = bool(work.window) and self._pod.repeat(work.key, self._time.now, work.window)
        if work.effects and not repeat:
            self.effects[work.key] = self.effects.get(work.key, 0) + 1
        self._journal.add(self._time.now, "run", work.id, self.name, work.key, work.effects and not repeat)
        if self.spoiling and self._stream.chance(self.spoiling):
            return work.reply("spoilt", 0)
        if self.doubling and self._stream.chance(self.doubling):
            return work.reply("twice", work.id)
        work.reply("ok", work.id)

    def _warm(self) -> None:
        """A cold node's speed rises."""
        if self.state in ("down", "fell"):
            return
        self._progress()
        self._arm()
        if self.warmth < 1:
            self._time.after(COLD_STEP, self._warm)
