"""A run of a scenario in virtual time: the modelled nodes and services, real gateway cores, clients and faults.

A run depends on its scenario and seed alone. Invariant: each part draws from a stream of its own (`Streams`), so that
a change in one part leaves the draws of the others. Times in ms, unless a name says otherwise.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from hallhitch.decision import api
from hallhitch.lab.baselines import NodeLoads
from hallhitch.lab.fault_injection import FaultTargets
from hallhitch.lab.fleet.cluster import Cluster, ClusterOptions
from hallhitch.lab.front_router import FrontRouter
from hallhitch.lab.journal import Journal
from hallhitch.lab.model_gateway import GatewayStart, ModelGateway
from hallhitch.lab.model_network import ModelNetwork
from hallhitch.lab.model_upstream import UpstreamEnvironment
from hallhitch.lab.node import Node
from hallhitch.lab.node_factory import NodeFactory
from hallhitch.lab.scenario import Scenario, journal_header
from hallhitch.lab.services import Counter, Discovery
from hallhitch.lab.streams import Stream, Streams
from hallhitch.lab.traffic import Traffic, draw_traffic
from hallhitch.lab.virtual import EPOCH, VirtualTime
from hallhitch.lab.virtual_clients import VirtualClients
from hallhitch.lab.virtual_faults import VirtualFaultInjector
from hallhitch.membership.damped_view import GatewayCounts

LAST_ANSWERS_MS: Final = 1_500.0  # past the longest deadline, for answers on the way when no more requests are sent
Mutant = Callable[[ModelGateway], None]


@dataclass(slots=True)
class Result:
    """The outcome of a run."""

    journal: Journal
    traffic: Traffic
    counter_calls: int
    steps: int
    effects: dict[str, int]  # executions with an effect, by key


class VirtualRun:
    """One run of a scenario under a seed; `mutant` may break the gateways, to test the checker."""

    def __init__(self, scenario: Scenario, seed: int, mutant: Mutant | None = None) -> None:
        world = scenario.world
        self.scenario = scenario
        self.seed = seed
        self._mutant = mutant
        self.time = VirtualTime()
        self.streams = Streams(seed)
        self.journal = Journal(EPOCH)
        self.traffic = draw_traffic(scenario, seed)
        self.settings = scenario.settings(self.traffic.rates)
        self.journal.add(EPOCH, "world", *journal_header(scenario, self.settings))
        self.network = ModelNetwork(world, self.streams.of("network"))
        self.counter = Counter(world, self.time, self.streams.of("counter"))
        self.discovery = Discovery(world, self.time, self.streams.of("discovery"))
        self._node_factory = NodeFactory(world, self.time, self.journal, self.streams)
        self._nodes_created = 0
        self.nodes: dict[str, Node] = {}
        for _ in range(world.nodes):
            self.discovery.register(self.add_node(0.0))
        self._saved_entries = tuple(self.discovery.entries.values())
        self._upstream = UpstreamEnvironment(world, self.nodes, self.counter, self.network, self.journal)
        self._node_loads = (
            NodeLoads(self.nodes, world.choice_late_ms, self.time) if world.choice == "informed" else None
        )
        self._gateway_starts = 0
        self.gateways: dict[int, ModelGateway | None] = {}
        options = ClusterOptions(on_counts=self._on_peers)
        self.cluster = Cluster(world.gateways, seed, self.time, options) if world.peers else None
        for number in range(world.gateways):
            self.start_gateway(number)
        if self.cluster is not None:
            self.cluster.start_settled()
        faults = self.streams.of("faults")
        self.router = FrontRouter(world.gateways, self._is_running, faults)
        self._fault_injector = VirtualFaultInjector(self._fault_targets(faults), self)

    def play(self) -> Result:
        """Run to the end."""
        for fault in self.scenario.faults:
            self.time.at(EPOCH + fault.at_s * 1000, self._fault_injector.inject, fault)
        VirtualClients(self, self.traffic.planned_requests).start()
        longest_deadline_ms = max(request_class.deadline for request_class in self.settings.classes)
        self.time.run(EPOCH + self.scenario.seconds * 1000 + longest_deadline_ms + LAST_ANSWERS_MS)
        effects: dict[str, int] = {}
        for node in self.nodes.values():
            for key, count in node.effects.items():
                effects[key] = effects.get(key, 0) + count
        return Result(self.journal, self.traffic, self.counter.calls, self.time.steps, effects)

    def add_node(self, started_at: float) -> Node:
        """Add a node; with `started_at` 0 it is warm."""
        node = self._node_factory.create(self._nodes_created, started_at)
        self._nodes_created += 1
        self.nodes[node.name] = node
        return node

    def start_gateway(self, number: int) -> None:
        """Start a gateway, or start it again."""
        self._gateway_starts += 1
        stream = self.streams.of(f"gateway {number} start {self._gateway_starts}")
        world = self.scenario.world
        start = GatewayStart(
            settings=replace(self.settings, index=number if world.numbers == "own" else 0),
            seed=self.seed * 1000 + self._gateway_starts,
            stream=stream,
            saved_entries=self._saved_list(stream),
            node_loads=self._node_loads,
        )
        gateway = ModelGateway(number, start, self._upstream, self.time)
        if self._mutant is not None:
            self._mutant(gateway)
        self.gateways[number] = gateway
        self.discovery.watch(number, gateway.on_server_list)
        if self.cluster is not None and number in self.cluster.members:
            self.cluster.start(number)

    def _saved_list(self, stream: Stream) -> tuple[api.ServerEntry, ...]:
        if not self.scenario.world.shuffled:
            return self._saved_entries
        return tuple(sorted(self._saved_entries, key=lambda _: stream.random()))

    def _is_running(self, number: int) -> bool:
        return self.gateways.get(number) is not None

    def _on_peers(self, number: int, counts: GatewayCounts) -> None:
        """Receive the view that membership has of a gateway's peers."""
        gateway = self.gateways.get(number)
        if gateway is not None:
            gateway.set_peers(api.Peers(counts.placement_count, counts.budget_count, counts.rank))

    def _fault_targets(self, stream: Stream) -> FaultTargets:
        return FaultTargets(self.time, self.journal, self.network, self.counter, self.discovery, self.router, stream)


def play(scenario: Scenario, seed: int, mutant: Mutant | None = None) -> Result:
    """Run a scenario under a seed in virtual time."""
    return VirtualRun(scenario, seed, mutant).play()
