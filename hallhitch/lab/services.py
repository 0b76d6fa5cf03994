"""Simulated quota counter and discovery service, with their faults. Times in ms."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from hallhitch.decision import api
from hallhitch.lab.node import Node, Time
from hallhitch.lab.scenario import Fault, WorldSettings
from hallhitch.lab.streams import Stream

MAX_COUNT_LIFETIME_MS: Final = 60_000.0  # longest lifetime of a count in the platform's counter
SWEEP_COUNTS_ABOVE: Final = 50_000  # expired counts are removed above this number, to bound the memory of long runs


@dataclass(slots=True)
class _Count:
    value: float
    expires_at: float


class Counter:
    """Adds units to named counts and returns their totals. Names are sharded; a shard serves its calls one by one.

    Invariant: a call gets at most one reply. It gets none if the counter is silent, or goes down before it replies.
    """

    def __init__(self, world: WorldSettings, time: Time, stream: Stream) -> None:
        self._world = world
        self._time = time
        self._stream = stream
        self._counts: dict[int, _Count] = {}
        self._idle_at = [0.0] * world.counter_parts  # by shard: when it will have served all calls it has accepted
        self.is_down = False
        self.is_silent = False
        self.slowdown = 1.0
        self.failed_shards: set[int] = set()
        self.calls = 0
        self.unanswered = 0

    def call(self, name: int, units: float, lifetime_ms: float, on_reply: Callable[[str, float], None]) -> None:
        """Accept a call; `on_reply` is called with its outcome and total, or never."""
        self.calls += 1
        now, shard = self._time.now, name % self._world.counter_parts
        if self.is_silent:
            self.unanswered += 1
            return
        if self.is_down or shard in self.failed_shards:
            on_reply("unreachable", 0.0)
            return
        call_ms = 1000 * self._world.counter_parts / self._world.counter_per_s * self.slowdown
        begins_at = max(now, self._idle_at[shard])
        if begins_at - now > call_ms * self._world.counter_queue:
            on_reply("full", 0.0)
            return
        self._idle_at[shard] = begins_at + call_ms
        latency_ms = self._stream.uniform(*self._world.counter_ms) * self.slowdown
        self._time.after(begins_at + latency_ms - now, self._serve, name, units, lifetime_ms, on_reply)

    def fail(self, fault: Fault) -> None:
        """Begin a fault."""
        if fault.kind == "counter_down":
            self.is_down = True
        elif fault.kind == "counter_silent":
            self.is_silent = True
        elif fault.kind == "counter_slow":
            self.slowdown = fault.size
        elif fault.kind == "counter_part":
            self.failed_shards.add(0)

    def recover(self, fault: Fault) -> None:
        """End a fault; the counts are cleared if the fault loses its data."""
        self.is_down = False
        self.is_silent = False
        self.slowdown = 1.0
        self.failed_shards.clear()
        if fault.empty or fault.kind == "counter_empty":
            self._counts.clear()

    def totals(self) -> list[float]:
        """Return the totals of all names, including expired ones that have not been removed yet."""
        return [count.value for count in self._counts.values()]

    def _serve(self, name: int, units: float, lifetime_ms: float, on_reply: Callable[[str, float], None]) -> None:
        if self.is_down or self.is_silent:
            self.unanswered += 1
            return
        now = self._time.now
        count = self._counts.get(name)
        if count is None or count.expires_at <= now:
            count = self._counts[name] = _Count(0.0, now + min(MAX_COUNT_LIFETIME_MS, lifetime_ms))
            if len(self._counts) > SWEEP_COUNTS_ABOVE:
                self._counts = {name: count for name, count in self._counts.items() if count.expires_at > now}
        count.value += units
        on_reply("ok", float(f"{count.value:.7g}"))


OnServerList = Callable[[api.ServerList], None]


class Discovery:
    """The list of nodes, published to watchers.

    Invariants: a watcher receives updates in order, each after a delay drawn for it. It is sent none while discovery is
    down, and the missed ones after the recovery.
    """

    def __init__(self, world: WorldSettings, time: Time, stream: Stream) -> None:
        self._world = world
        self._time = time
        self._stream = stream
        self.entries: dict[str, api.ServerEntry] = {}
        self._watchers: dict[int, OnServerList] = {}
        self._last_delivery_at: dict[int, float] = {}  # by watcher: when its most recent update arrives
        self._missed: dict[int, list[api.ServerEntry]] = {}
        self.is_down = False

    def register(self, node: Node) -> None:
        """Add a node that is up before the run starts, without notifying watchers."""
        self.entries[node.name] = self._entry(node, "up")

    def publish(self, node: Node, state: str) -> None:
        """Publish a node's state: `up`, `drain` or `gone`."""
        entry = self._entry(node, state)
        if state == "gone":
            self.entries.pop(node.name, None)
        else:
            self.entries[node.name] = entry
        for watcher in list(self._watchers):
            if self.is_down:
                self._missed.setdefault(watcher, []).append(entry)
            else:
                self._send(watcher, api.ServerList("changes", (entry,)))

    def recover(self) -> None:
        """End an outage and send each watcher the updates that it missed."""
        self.is_down = False
        for watcher, entries in sorted(self._missed.items()):
            if watcher in self._watchers:
                self._send(watcher, api.ServerList("changes", tuple(entries)))
        self._missed.clear()

    def watch(self, watcher: int, on_server_list: OnServerList) -> None:
        """Add a watcher and send it the full list, delayed like any update; nothing is sent while discovery is down."""
        self._watchers[watcher] = on_server_list
        self._last_delivery_at[watcher] = 0.0
        if not self.is_down:
            self._send(watcher, None)

    def unwatch(self, watcher: int) -> None:
        """Remove a watcher."""
        self._watchers.pop(watcher, None)
        self._missed.pop(watcher, None)

    def delay_until(self, watcher: int, until: float) -> None:
        """Hold back updates to a watcher until a time, at which they arrive in order."""
        self._last_delivery_at[watcher] = max(self._last_delivery_at.get(watcher, 0.0), until)

    def _entry(self, node: Node, state: str) -> api.ServerEntry:
        return api.ServerEntry(node.name, state, node.zone, node.cell, node.started_at, 1.0)

    def _send(self, watcher: int, update: api.ServerList | None) -> None:
        """Send an update, or if None the full list as of its arrival; dropped if the watcher is replaced or removed."""
        on_server_list = self._watchers[watcher]
        now = self._time.now
        arrives_at = max(self._last_delivery_at[watcher], now + self._stream.uniform(*self._world.list_late))
        self._last_delivery_at[watcher] = arrives_at

        def arrive() -> None:
            if self._watchers.get(watcher) is on_server_list:
                on_server_list(update or api.ServerList("full", tuple(self.entries.values())))

        self._time.after(arrives_at - now, arrive)
