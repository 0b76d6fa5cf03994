"""A run in virtual time: builds the world of a scenario, plays its faults and its clients, keeps the log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from hallhitch.decision import api
from hallhitch.lab.baselines import Board
from hallhitch.lab.fleet.cluster import Cluster
from hallhitch.lab.fleet.timeline import Trouble
from hallhitch.lab.hopping import Ask, ModelGateway, Network
from hallhitch.lab.journal import Journal
from hallhitch.lab.node import NODE_FAULTS, Node, Pod
from hallhitch.lab.scenario import Fault, Scenario, described
from hallhitch.lab.services import Counter, Discovery
from hallhitch.lab.streams import Streams
from hallhitch.lab.traffic import Intent, Traffic, draw
from hallhitch.lab.virtual import EPOCH, VirtualTime
from hallhitch.membership.damped_view import GatewayCounts

AFTER = 1_500.0  # ms past the longest deadline for which a run goes on once nothing new is asked
FRONT_BLIND = (900.0, 3_500.0)  # ms for which requests go on coming to a gateway that is dead
REPLACED = 4_000.0  # ms that a drained node has to finish
Mutant = Callable[[ModelGateway], None]


@dataclass(slots=True)
class Result:
    """What a run leaves."""

    journal: Journal
    traffic: Traffic
    counter_calls: int
    steps: int
    effects: dict[str, int]


class Run:
    """One run of a scenario under a seed; `mutant` may spoil the gateways, to try the checker."""

    def __init__(self, scenario: Scenario, seed: int, mutant: Mutant | None = None) -> None:
        self.scenario, self.seed, self._mutant = scenario, seed, mutant
        self.time, self.streams, w = VirtualTime(), Streams(seed), scenario.world
        self.journal = Journal(EPOCH)
        self.traffic = draw(scenario, seed)
        self.settings = scenario.settings(self.traffic.rates)
        self.journal.add(EPOCH, "world", *described(scenario, self.settings))
        self.network = Network(w, self.streams.of("network"))
        self.counter = Counter(w, self.time, self.streams.of("counter"))
        self.discovery = Discovery(w, self.time, self.streams.of("discovery"))
        self._pods = [Pod() for _ in range(w.pods)]
        self._made, self._ids = 0, 0
        self._speeds, self._faults = self.streams.of("speeds"), self.streams.of("faults")
        self.nodes: dict[str, Node] = {}
        self.effects: dict[str, int] = {}
        for _ in range(w.nodes):
            node = self._node(0.0)
            self.discovery.entries[node.name] = self.discovery.entry(node, "up")
        self._first_list = tuple(self.discovery.entries.values())
        self._starts = 0
        self._board = Board(self.nodes, w.choice_late_ms, self.time) if w.choice == "informed" else None
        self.gateways: dict[int, ModelGateway | None] = {}
        self.cluster = Cluster(w.gateways, seed, self.time, follow=self._follow) if w.peers else None
        for number in range(w.gateways):
            self._gateway(number)
        if self.cluster is not None:
            self.cluster.settled()
        self._blind: dict[int, float] = {}  # until when requests still come to a dead gateway, or one that stands
        self._stopped: set[int] = set()

    def play(self) -> Result:
        """Run to the end."""
        for fault in self.scenario.faults:
            self.time.at(EPOCH + fault.at_s * 1000, self._begin, fault)
        self._next(0)
        longest = max(k.deadline for k in self.settings.classes)
        self.time.run(EPOCH + self.scenario.seconds * 1000 + longest + AFTER)
        for node in self.nodes.values():
            for key, count in node.effects.items():
                self.effects[key] = self.effects.get(key, 0) + count
        return Result(self.journal, self.traffic, self.counter.calls, self.time.steps, self.effects)

    # What is there.

    def _node(self, born: float) -> Node:
        w, number = self.scenario.world, self._made
        self._made += 1
        cell = number % w.pods
        speed = self._speeds.between(*w.speed) * w.ability(number)
        node = Node(
            f"node-{number}",
            w,
            self._pods[cell],
            cell,
            number % w.zones,
            speed,
            self.time,
            self.journal,
            self.streams.of(f"node {number}"),
            born,
        )
        self.nodes[node.name] = node
        return node

    def _restart(self, old: Node) -> None:
        """A node of the same name, cold, where one was lost."""
        node = self.nodes[old.name] = old.again(self.time.now)
        self.discovery.set(node, "up")

    def _gateway(self, number: int) -> None:
        self._starts += 1
        stream = self.streams.of(f"gateway {number} start {self._starts}")
        settings = replace(self.settings, index=number if self.scenario.world.numbers == "own" else 0)
        first = self._first_list
        if self.scenario.world.shuffled:
            first = tuple(sorted(first, key=lambda _: stream.random()))
        made = ModelGateway(
            number,
            settings,
            self.seed * 1000 + self._starts,
            self.scenario.world,
            self.time,
            self.nodes,
            self.counter,
            self.network,
            self.journal,
            stream,
            first,
            self._board,
        )
        if self._mutant is not None:
            self._mutant(made)
        self.gateways[number] = made
        self.discovery.watch(number, made.told)
        if self.cluster is not None and number in self.cluster.peers:
            self.cluster.start(number)

    def _follow(self, number: int, counted: GatewayCounts) -> None:
        """A gateway hears of places and budgets, if it lives."""
        gateway = self.gateways.get(number)
        if gateway is not None:
            gateway.meet(api.Peers(counted.placement_count, counted.budget_count, counted.rank))

    # Clients.

    def _next(self, turn: int) -> None:
        """The next try of a client, and a look at the one behind it."""
        intents = self.traffic.intents
        if turn < len(intents):
            self.time.at(EPOCH + intents[turn].at, self._come, turn)

    def _come(self, turn: int) -> None:
        self._next(turn + 1)
        self._try(self.traffic.intents[turn], True, 1.0)

    def _try(self, intent: Intent, first: bool, share: float) -> None:
        number = self._through(intent.gateway if first else intent.again, intent)
        gateway = self.gateways.get(number)
        if gateway is None:  # dead, and the front does not know yet
            return self._again(intent, first, 0.0)
        self._ids += 1
        id, now, patience = self._ids, self.time.now, intent.patience * share
        plan, klass = self.settings.plans[intent.customer.plan].name, self.settings.classes[intent.klass].name
        self.journal.add(
            now,
            "ask",
            id,
            number,
            intent.customer.name,
            plan,
            klass,
            intent.key,
            round(now + patience - EPOCH, 3),
            first,
        )
        over, exchange = False, 0

        def done(status: str, advice: float) -> None:
            nonlocal over
            over = True
            if status != "served":
                self._again(intent, first, advice)

        def leave() -> None:
            if not over and gateway is self.gateways.get(number):
                self.journal.add(self.time.now, "leave", id)
                gateway.come(lambda: gateway.core.on_client_gone(exchange))

        def begin() -> None:
            nonlocal exchange
            exchange = gateway.ask(ask, patience, intent.customer.spread, not first)

        ask = Ask(id, intent, done, self.journal, self.time)
        gateway.come(begin)
        if first and intent.leaves < 1:
            self.time.after(patience * intent.leaves, leave)

    def _again(self, intent: Intent, first: bool, advice: float) -> None:
        """A client that tries once more by itself."""
        if first and intent.retries:
            self.time.after(max(intent.retry_wait, advice), self._try, intent, False, 0.75)

    def _through(self, number: int, intent: Intent) -> int:
        """The gateway that the front gives a request to."""
        for step in range(intent.customer.spread):
            other = (number + step) % self.scenario.world.gateways
            there = self.gateways.get(other) is not None and other not in self._stopped
            if there or self.time.now < self._blind.get(other, 0.0):
                return other
        return number

    # Faults.

    def _some(self, part: float) -> list[Node]:
        """Nodes that a fault befalls: one at least."""
        return self._faults.some((node for node in self.nodes.values() if node.state == "up"), part)

    def _begin(self, fault: Fault) -> None:
        whom: list[Node] = []
        ends = self.time.now + fault.for_s * 1000
        kind = fault.kind
        if kind in NODE_FAULTS:
            whom = self._some(fault.part)
            for node in whom:
                node.fail(kind, fault.size)
                self.time.at(ends, node.recover, kind)
        elif kind in ("crash", "drain", "replace"):
            whom = self._some(min(1.0, fault.size) if kind == "replace" else fault.part)
            self._go(fault, whom)
        elif kind == "zone_lost":
            whom = [node for node in self.nodes.values() if node.zone == fault.size and node.state == "up"]
            for node in whom:
                node.stop("down")
                self.time.at(ends, self._restart, node)
        elif kind == "unreachable":
            whom = self._some(fault.part)
            cut = {(number, node.name) for node in whom for number in self._picked(fault.size)}
            self.network.cut |= cut
            self.time.at(ends, self.network.cut.difference_update, cut)
        elif kind == "list_held":
            for number in self._picked(fault.part):
                self.discovery.hold(number, ends)
        elif kind == "gateways_die":
            self._kill(fault)
        elif kind == "gateways_split":
            if self.cluster is not None:
                self.cluster.begin(Trouble("split", 0.0, parts=(fault.part, 1 - fault.part)), fault.for_s * 1000)
        elif kind in ("gateways_stop", "gateways_reload"):
            for number in self._picked(fault.part):
                self._stop(number, fault) if kind == "gateways_stop" else self.journal.add(
                    self.time.now, "gateway", number, "reloaded"
                )
        elif kind in ("reset", "stale"):
            setattr(self.network, kind, fault.size)
            self.time.at(ends, setattr, self.network, kind, 0.0 if kind == "reset" else float("inf"))
        elif kind == "discovery_down":
            self.discovery.down = True
            self.time.at(ends, self.discovery.up)
        elif kind.startswith("counter"):
            self.counter.fail(fault)
            self.time.at(ends, self.counter.recover, fault)
        self.journal.add(self.time.now, "fault", kind, "begins", [node.name for node in whom])
        self.time.at(ends, lambda: self.journal.add(self.time.now, "fault", kind, "ends", []))

    def _go(self, fault: Fault, whom: list[Node]) -> None:
        """Nodes that crash and return, drain, or are all replaced one after another."""
        step = fault.for_s * 1000 / max(1, len(whom))
        for turn, node in enumerate(whom):
            if fault.kind == "crash":
                node.stop("down")
                self.discovery.set(node, "gone")
                self.time.after(fault.for_s * 1000, self._join)
            else:
                at = step * turn if fault.kind == "replace" else 0.0
                self.time.after(at, self._drain, node)
                if fault.kind == "replace":
                    self.time.after(at, self._join)

    def _drain(self, node: Node) -> None:
        if node.state == "up":
            node.drain()
            self.discovery.set(node, "drain")
            self.time.after(REPLACED, self._gone, node)

    def _gone(self, node: Node) -> None:
        if node.state == "drain":
            node.stop("down")
            self.discovery.set(node, "gone")

    def _join(self) -> None:
        """A new node, cold."""
        self.discovery.set(self._node(self.time.now), "up")

    def _picked(self, part: float) -> list[int]:
        """Gateways that a fault befalls: one at least."""
        return self._faults.some((n for n, gateway in self.gateways.items() if gateway is not None), part)

    def _stop(self, number: int, fault: Fault) -> None:
        gateway = self.gateways[number]
        assert gateway is not None
        gateway.stop()
        self._stopped.add(number)
        if self.cluster is not None:
            self.cluster.stop(number)
        self._blind[number] = self.time.now + min(fault.for_s * 1000, self._faults.between(*FRONT_BLIND))

        def go_on() -> None:
            self._stopped.discard(number)
            gateway.go_on()
            if self.cluster is not None and self.cluster.peers[number].alive:
                self.cluster.go_on(number)

        self.time.after(fault.for_s * 1000, go_on)

    def _kill(self, fault: Fault) -> None:
        for number in self._picked(fault.part):
            gateway = self.gateways[number]
            assert gateway is not None
            gateway.kill()
            if self.cluster is not None:
                self.cluster.kill(number)
            self.discovery.leave(number)
            self.gateways[number] = None
            self._blind[number] = self.time.now + min(fault.for_s * 1000, self._faults.between(*FRONT_BLIND))
            self.time.after(fault.for_s * 1000, self._gateway, number)


def play(scenario: Scenario, seed: int, mutant: Mutant | None = None) -> Result:
    """Run a scenario under a seed in virtual time."""
    return Run(scenario, seed, mutant).play()
