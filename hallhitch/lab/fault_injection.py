"""Injection of a scenario's faults, as far as virtual runs and runs on sockets have it in common.

Each fault is journalled when it begins. Targets are drawn from the stream `faults`, so their order is part of what a
seed fixes. Times in ms, unless a name says otherwise.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

from hallhitch.lab.front_router import FrontRouter
from hallhitch.lab.journal import Journal
from hallhitch.lab.model_network import ModelNetwork
from hallhitch.lab.node import NODE_FAULTS, Node, NodeState, Time
from hallhitch.lab.scenario import Fault
from hallhitch.lab.services import Counter, Discovery
from hallhitch.lab.streams import Stream

NodeT = TypeVar("NodeT")  # a node as the run has it: the model, or the model behind a listener
DRAIN_MS: Final = 4_000.0  # that a draining node has to finish: the longest deadline in scenarios/
NORMAL_LINK: Final = {"reset": 0.0, "stale": float("inf")}  # attributes of the network without these faults


@dataclass(frozen=True, slots=True)
class FaultTargets:
    """The parts of a run that faults act on."""

    time: Time
    journal: Journal
    network: ModelNetwork
    counter: Counter
    discovery: Discovery
    router: FrontRouter
    stream: Stream


class FaultInjector(ABC, Generic[NodeT]):
    """Injects the faults of a scenario; subclasses know the run's nodes and gateways."""

    def __init__(self, targets: FaultTargets) -> None:
        self._time = targets.time
        self._journal = targets.journal
        self._network = targets.network
        self._counter = targets.counter
        self._discovery = targets.discovery
        self._router = targets.router
        self._stream = targets.stream
        self._handlers: dict[str, Callable[[Fault], list[NodeT]]] = {
            **dict.fromkeys(NODE_FAULTS, self._degrade_nodes),
            **dict.fromkeys(("crash", "drain"), self._remove_nodes),
            **dict.fromkeys(("counter_down", "counter_silent", "counter_slow"), self._fail_counter),
            **dict.fromkeys(("counter_empty", "counter_part"), self._fail_counter),
            **dict.fromkeys(NORMAL_LINK, self._degrade_links),
            "replace": self._replace_nodes,
            "zone_lost": self._lose_zone,
            "unreachable": self._partition_nodes,
            "list_held": self._delay_lists,
            "discovery_down": self._stop_discovery,
            "gateways_die": self._kill_gateways,
            "gateways_stop": self._suspend_gateways,
            "gateways_reload": self._reload_gateways,
            "gateways_split": self._split_gateways,
        }

    def inject(self, fault: Fault) -> None:
        """Begin a fault; those of the traffic (`burst`, `flash`) are in the drawn requests, and journalled alone."""
        handler = self._handlers.get(fault.kind)
        nodes = handler(fault) if handler is not None else []
        self._journal.add(self._time.now, "fault", fault.kind, "begins", [self._model(node).name for node in nodes])
        self._on_injected(fault)

    # What subclasses know.

    @abstractmethod
    def _nodes(self) -> Iterable[NodeT]:
        """The run's nodes, those that are down included."""

    @abstractmethod
    def _model(self, node: NodeT) -> Node:
        """The model of a node."""

    @abstractmethod
    def _stop_node(self, node: NodeT, state: NodeState) -> None:
        """Take a node down."""

    @abstractmethod
    def _restart_node_after(self, node: NodeT, delay_ms: float) -> None:
        """Schedule a cold node of the same name in place of one that was lost."""

    @abstractmethod
    def _remove_or_replace(self, fault: Fault, nodes: list[NodeT]) -> None:
        """Crash, drain or replace nodes."""

    @abstractmethod
    def _running_gateways(self) -> Iterable[int]:
        """Numbers of the gateways whose process runs."""

    @abstractmethod
    def _kill_gateway(self, number: int) -> None:
        """Kill a gateway's process."""

    @abstractmethod
    def _start_gateway(self, number: int) -> None:
        """Start a gateway's process again."""

    @abstractmethod
    def _suspend_gateway(self, number: int) -> Callable[[], None]:
        """Stop a gateway's process; the callback resumes it."""

    @abstractmethod
    def _reload_gateway(self, number: int) -> None:
        """Have a gateway read its settings again."""

    def _split_gateways(self, fault: Fault) -> list[NodeT]:
        """Partition the gateways among themselves, where the run has membership."""
        return []

    @abstractmethod
    def _on_injected(self, fault: Fault) -> None:
        """Called when a fault was injected and journalled."""

    # Nodes.

    def _pick_nodes(self, ratio: float) -> list[NodeT]:
        """Draw a part of the nodes that are up, at least one."""
        return self._stream.sample((node for node in self._nodes() if self._model(node).state is NodeState.UP), ratio)

    def _degrade_nodes(self, fault: Fault) -> list[NodeT]:
        nodes = self._pick_nodes(fault.part)
        for node in nodes:
            self._model(node).fail(fault.kind, fault.size)
            self._time.after(fault.for_s * 1000, self._model(node).recover, fault.kind)
        return nodes

    def _remove_nodes(self, fault: Fault) -> list[NodeT]:
        nodes = self._pick_nodes(fault.part)
        self._remove_or_replace(fault, nodes)
        return nodes

    def _replace_nodes(self, fault: Fault) -> list[NodeT]:
        nodes = self._pick_nodes(min(1.0, fault.size))
        self._remove_or_replace(fault, nodes)
        return nodes

    def _lose_zone(self, fault: Fault) -> list[NodeT]:
        nodes = [
            node
            for node in self._nodes()
            if self._model(node).zone == fault.size and self._model(node).state is NodeState.UP
        ]
        for node in nodes:
            self._stop_node(node, NodeState.DOWN)
            self._restart_node_after(node, fault.for_s * 1000)
        return nodes

    def _partition_nodes(self, fault: Fault) -> list[NodeT]:
        nodes = self._pick_nodes(fault.part)
        cut = {(number, self._model(node).name) for node in nodes for number in self._pick_gateways(fault.size)}
        self._network.cut |= cut
        self._time.after(fault.for_s * 1000, self._network.cut.difference_update, cut)
        return nodes

    # Links, discovery and counter.

    def _degrade_links(self, fault: Fault) -> list[NodeT]:
        setattr(self._network, fault.kind, fault.size)
        self._time.after(fault.for_s * 1000, setattr, self._network, fault.kind, NORMAL_LINK[fault.kind])
        return []

    def _delay_lists(self, fault: Fault) -> list[NodeT]:
        for number in self._pick_gateways(fault.part):
            self._discovery.delay_until(number, self._time.now + fault.for_s * 1000)
        return []

    def _stop_discovery(self, fault: Fault) -> list[NodeT]:
        self._discovery.is_down = True
        self._time.after(fault.for_s * 1000, self._discovery.recover)
        return []

    def _fail_counter(self, fault: Fault) -> list[NodeT]:
        self._counter.fail(fault)
        self._time.after(fault.for_s * 1000, self._counter.recover, fault)
        return []

    # Gateways.

    def _pick_gateways(self, ratio: float) -> list[int]:
        """Draw a part of the running gateways, at least one."""
        return self._stream.sample(self._running_gateways(), ratio)

    def _kill_gateways(self, fault: Fault) -> list[NodeT]:
        for number in self._pick_gateways(fault.part):
            self._kill_gateway(number)
            self._discovery.unwatch(number)
            self._make_front_unaware(number, fault)
            self._time.after(fault.for_s * 1000, self._start_gateway, number)
        return []

    def _suspend_gateways(self, fault: Fault) -> list[NodeT]:
        for number in self._pick_gateways(fault.part):
            resume = self._suspend_gateway(number)
            self._router.suspended.add(number)
            self._make_front_unaware(number, fault)
            self._time.after(fault.for_s * 1000, self._resume_gateway, number, resume)
        return []

    def _resume_gateway(self, number: int, resume: Callable[[], None]) -> None:
        self._router.suspended.discard(number)
        resume()

    def _reload_gateways(self, fault: Fault) -> list[NodeT]:
        for number in self._pick_gateways(fault.part):
            self._reload_gateway(number)
        return []

    def _make_front_unaware(self, number: int, fault: Fault) -> None:
        unaware_ms = min(fault.for_s * 1000, self._router.draw_unaware_ms())
        self._router.notice_down_at(number, self._time.now + unaware_ms)
