"""The gateway's ports on the model: hops with pooled connections, the counter, and the answers to clients."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hallhitch.core.deadlines import Deadline, Deadlines
from hallhitch.core.module import Core
from hallhitch.core.ports import Attempt
from hallhitch.decision import api
from hallhitch.lab.baselines import Board, chooser
from hallhitch.lab.journal import Journal
from hallhitch.lab.node import Node, Work
from hallhitch.lab.scenario import World
from hallhitch.lab.services import Counter
from hallhitch.lab.streams import Stream
from hallhitch.lab.traffic import Intent
from hallhitch.lab.virtual import Handle, VirtualTime
from hallhitch.net.upstream.client import MAX_IDLE_RATIO
from hallhitch.net.upstream.idle_times import IdleTimeStatistics

CONNECT = 250.0  # ms for a connection that never comes up


class GatewayTime:
    """The time of one gateway's process: once it has died nothing that it had planned happens, and while it is stopped
    all waits, in order, until it goes on."""

    def __init__(self, time: VirtualTime) -> None:
        self._time, self.alive = time, True
        self._waiting: list[tuple[Callable[..., object], tuple[object, ...]]] | None = None  # while it is stopped

    def __call__(self) -> float:
        return self._time.now

    def call_soon(self, callback: Callable[..., object], /, *args: object) -> Handle:
        """Call it at this time."""
        return self._time.call_soon(self._if_alive, callback, args)

    def call_later(self, delay: float, callback: Callable[..., object], /, *args: object) -> Handle:
        """Call it so many seconds from now."""
        return self._time.after(delay * 1000, self._if_alive, callback, args)

    def stop(self) -> None:
        """Stand still."""
        if self._waiting is None:
            self._waiting = []

    def go_on(self) -> None:
        """Do what came meanwhile, in order, at this time."""
        waiting, self._waiting = self._waiting or [], None
        for callback, args in waiting:
            self.run(callback, *args)

    def run(self, callback: Callable[..., object], /, *args: object) -> None:
        """Call it now, or once the process goes on."""
        if self._waiting is not None:
            self._waiting.append((callback, args))
        elif self.alive:
            callback(*args)

    def _if_alive(self, callback: Callable[..., object], args: tuple[object, ...]) -> None:
        self.run(callback, *args)


class Network:
    """Delays between zones, and what breaks on the way."""

    def __init__(self, world: World, stream: Stream) -> None:
        self._world, self._stream = world, stream
        self.reset = 0.0  # chance that an attempt's connection breaks
        self.cut: set[tuple[int, str]] = set()  # gateways and nodes that do not reach each other
        self.stale = float("inf")  # ms after which an idle connection is dropped without a word

    def delay(self, one: int, other: int) -> float:
        """One way."""
        return self._stream.between(*(self._world.delay if one == other else self._world.across))

    def breaks(self) -> bool:
        """Whether this attempt's connection breaks."""
        return self.reset > 0 and self._stream.chance(self.reset)

    def early(self) -> bool:
        """Whether it does so before the request has come whole."""
        return self._stream.chance(0.5)


@dataclass(slots=True, eq=False)
class Ask:
    """A client's try at a gateway: the payload of its exchange."""

    id: int
    intent: Intent
    done: Callable[[str, float], None]  # status and advice
    journal: Journal
    now: Callable[[], float]

    def on_served(self, payload: object) -> None:
        """The answer of a node."""
        self.journal.add(self.now(), "answer", self.id, "served", payload)
        self.done("served", 0.0)

    def on_rejected(self, advice: float) -> None:
        """To come back later."""
        self.journal.add(self.now(), "answer", self.id, "refused", 0)
        self.done("refused", advice)

    def on_failed(self) -> None:
        """Nothing is known."""
        self.journal.add(self.now(), "answer", self.id, "failed", 0)
        self.done("failed", 0.0)


@dataclass(slots=True, eq=False)
class _Job:
    attempt: Attempt
    ask: Ask
    node: Node | None
    idle: float | None = None
    sent: bool = False
    over: bool = False
    limit: Deadline | None = None


class ModelHops:
    """Carries attempts over modelled connections, pooled as the real hops pool theirs."""

    def __init__(
        self,
        core: Core,
        zone: int,
        nodes: dict[str, Node],
        network: Network,
        world: World,
        time: GatewayTime,
        journal: Journal,
        stream: Stream,
        number: int,
    ) -> None:
        self._core, self._zone, self._nodes, self._network, self._world = core, zone, nodes, network, world
        self._time, self._journal, self._stream, self._number = time, journal, stream, number
        self._deadlines = core.deadlines
        self._idle: dict[str, list[tuple[float, float]]] = {}  # since when, and the node's start
        self._jobs: dict[tuple[int, int], _Job] = {}
        self._idle_times = IdleTimeStatistics(time)
        self.up: dict[str, bool] = {}

    def told(self, news: api.ServerList) -> None:
        """What discovery told: hops look at it once more before they write."""
        if news.mode != "changes":
            self.up = {}
        for entry in news.entries:
            self.up[entry.server] = entry.state == "up"

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt."""
        ask = attempt.payload
        assert isinstance(ask, Ask)
        node = self._nodes.get(attempt.server)
        job = _Job(attempt, ask, node)
        self._jobs[attempt.exchange_id, attempt.number] = job
        job.limit = self._deadlines.call_at(attempt.ends_at, lambda: self._stop(job, "timeout"))
        if (self._number, attempt.server) in self._network.cut:
            self._later(CONNECT, self._end, job, "unreachable")
        elif self._reused(job):
            self._write(job)
        elif node is None or node.state in ("down", "fell"):
            self._later(self._way(job), self._end, job, "unreachable")
        elif node.connections >= self._world.connections:
            self._later(CONNECT, self._end, job, "unreachable")
        else:
            node.charge(self._world.handshake_work)
            shake = self._stream.between(*self._world.handshake)
            self._later(2 * self._way(job) + shake, self._write, job)

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up."""
        job = self._jobs.get((attempt.exchange_id, attempt.number))
        if job is not None:
            self._stop(job, "cancelled")

    def _reused(self, job: _Job) -> bool:
        node, now = job.node, self._time()
        pool = self._idle.get(job.attempt.server, [])
        most = min(self._idle_times.max_idle_ms(), self._world.keepalive * MAX_IDLE_RATIO)
        while pool:
            since, born = pool.pop()
            if node is not None:
                node.connections -= 1
            if node is not None and now - since <= most and node.born == born and node.state == "up":
                job.idle = now - since
                return True
        return False

    def _write(self, job: _Job) -> None:
        if job.over:
            return
        a, node, now = job.attempt, job.node, self._time()
        assert node is not None
        if not a.is_wanted or a.ends_at - now < 1 or not self.up.get(a.server, False):
            return self._end(job, "void")
        node.connections += 1
        job.sent = True
        self._journal.add(now, "send", job.ask.id, a.number, self._number, a.server)
        dead = job.idle is not None and job.idle > self._network.stale
        way = self._way(job)
        if dead or self._network.breaks():
            if not dead and not self._network.early():
                self._time.call_later(way / 1000, node.take, self._work(job, lost=True))
            return self._later(2 * way, self._end, job, "reset")
        self._time.call_later(way / 1000, node.take, self._work(job))

    def _work(self, job: _Job, lost: bool = False) -> Work:
        intent, settings = job.ask.intent, self._core.gateway.config
        kind = settings.classes[intent.klass]

        def reply(outcome: str, echo: int) -> None:
            if not lost:
                self._later(self._way(job), self._back, job, outcome, echo)

        return Work(
            job.ask.id,
            job.attempt.number,
            intent.work,
            job.attempt.ends_at,
            intent.key,
            kind.repeat_window,
            kind.effect != api.SAFE,
            reply,
        )

    def _back(self, job: _Job, outcome: str, echo: int) -> None:
        """A node's answer has come; one that is spoilt or comes twice costs its connection."""
        heard = {"spoilt": "error", "twice": "ok"}.get(outcome, outcome)
        self._end(job, heard, echo, keep=outcome in ("ok", "full", "error"))

    def _stop(self, job: _Job, outcome: str) -> None:
        self._end(job, outcome)

    def _end(self, job: _Job, outcome: str, echo: int = 0, keep: bool = False) -> None:
        """Report an attempt's end, once; its connection is kept or closed."""
        if job.over:
            return
        job.over = True
        self._deadlines.cancel(job.limit)
        a = job.attempt
        del self._jobs[a.exchange_id, a.number]
        if job.sent:
            self._journal.add(self._time(), "done", job.ask.id, a.number, outcome)
            self._idle_times.observe(job.idle, outcome == "reset")
            if keep and job.node is not None and self.up.get(a.server, False):
                self._idle.setdefault(a.server, []).append((self._time(), job.node.born))
            elif job.node is not None:
                job.node.connections -= 1
        self._core.on_attempt_ended(a, outcome, echo if outcome == "ok" else None)

    def _way(self, job: _Job) -> float:
        return self._network.delay(self._zone, job.node.zone if job.node is not None else self._zone)

    def _later(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        self._time.call_later(delay / 1000, callback, *args)


class ModelCounter:
    """Calls of the counter over the modelled network, each given up in time."""

    def __init__(
        self, core: Core, zone: int, counter: Counter, network: Network, world: World, time: GatewayTime
    ) -> None:
        self._core, self._zone, self._counter, self._network = core, zone, counter, network
        self._world, self._time = world, time

    def add(self, name: int, units: float, lifetime: float) -> None:
        """Add and read."""
        began = self._time()
        told = False

        def tell(outcome: str, total: float) -> None:
            nonlocal told
            if not told:
                told = True
                self._core.deadlines.cancel(limit)
                self._core.on_counter_reply(name, outcome, total, self._time() - began)

        def reply(outcome: str, total: float) -> None:
            self._time.call_later(self._network.delay(self._zone, 0) / 1000, tell, outcome, total)

        limit = self._core.deadlines.call_after(self._world.counter_timeout, lambda: tell("timeout", 0.0))
        self._time.call_later(
            self._network.delay(self._zone, 0) / 1000, self._counter.call, name, units, lifetime, reply
        )


class ModelGateway:
    """One gateway: the real core and module on modelled ports."""

    def __init__(
        self,
        number: int,
        settings: api.Settings,
        seed: int,
        world: World,
        time: VirtualTime,
        nodes: dict[str, Node],
        counter: Counter,
        network: Network,
        journal: Journal,
        stream: Stream,
        known: tuple[api.ServerEntry, ...],
        board: Board | None = None,
    ) -> None:
        self.number, self._time, self._journal = number, GatewayTime(time), journal
        zone = number % world.zones
        module = chooser(world, settings, seed, board)
        self.core = Core(module, Deadlines(self._time, self._time), self._time, f"gateway {number}")
        self.hops = ModelHops(self.core, zone, nodes, network, world, self._time, journal, stream, number)
        self.core.upstream = self.hops
        self.core.counter = ModelCounter(self.core, zone, counter, network, world, self._time)
        journal.add(time.now, "gateway", number, "up")
        self.told(api.ServerList("saved", known), log=False)

    def told(self, news: api.ServerList, log: bool = True) -> None:
        """News of the list."""
        self._time.run(self._hear, news, log)

    def _hear(self, news: api.ServerList, log: bool) -> None:
        for entry in news.entries if log else ():
            self._journal.add(self._time(), "told", self.number, entry.server, entry.state)
        self.hops.told(news)
        self.core.post(news)

    def come(self, callback: Callable[[], None]) -> None:
        """Something reaches the process: now, or once it goes on."""
        self._time.run(callback)

    def meet(self, peers: api.Peers) -> None:
        """Word of the other gateways."""
        self._time.run(self.core.post, peers)

    def stop(self) -> None:
        """The process is stopped."""
        self._time.stop()
        self._journal.add(self._time(), "gateway", self.number, "stopped")

    def go_on(self) -> None:
        """The process goes on, unless it has died."""
        if self._time.alive:
            self._journal.add(self._time(), "gateway", self.number, "resumed")
            self._time.go_on()

    def ask(self, ask: Ask, patience: float, spread: int, repeat: bool) -> int:
        """A client's try has come."""
        i = ask.intent
        kind = self.core.gateway.config.classes[i.klass]
        return self.core.begin(
            i.customer.name,
            i.customer.plan,
            i.klass,
            patience,
            ask,
            ask,
            units=1.0,
            spread=float(spread),
            write=kind.effect != api.SAFE,
            repeat=repeat,
        )

    def kill(self) -> None:
        """The process dies."""
        self._time.alive = False
        self._journal.add(self._time(), "gateway", self.number, "killed")
