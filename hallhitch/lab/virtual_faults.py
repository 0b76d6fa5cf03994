"""Fault injection of virtual runs. Times in ms, unless a name says otherwise."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from hallhitch.lab.errors import GatewayNotRunningError
from hallhitch.lab.fault_injection import DRAIN_MS, FaultInjector, FaultTargets
from hallhitch.lab.fleet.cluster import Cluster
from hallhitch.lab.fleet.timeline import FleetFault
from hallhitch.lab.model_gateway import ModelGateway
from hallhitch.lab.node import Node, NodeState
from hallhitch.lab.scenario import Fault


class VirtualFleet(Protocol):
    """The nodes and gateways of a virtual run."""

    nodes: dict[str, Node]
    gateways: dict[int, ModelGateway | None]
    cluster: Cluster | None

    def add_node(self, started_at: float) -> Node:
        """Add a node."""

    def start_gateway(self, number: int) -> None:
        """Start a gateway."""


class VirtualFaultInjector(FaultInjector[Node]):
    """Injects faults into modelled nodes and gateways, and journals their end too."""

    def __init__(self, targets: FaultTargets, fleet: VirtualFleet) -> None:
        super().__init__(targets)
        self._fleet = fleet

    def _on_injected(self, fault: Fault) -> None:
        self._time.after(fault.for_s * 1000, self._journal_end, fault.kind)

    def _journal_end(self, kind: str) -> None:
        self._journal.add(self._time.now, "fault", kind, "ends", [])

    def _nodes(self) -> Iterable[Node]:
        return self._fleet.nodes.values()

    def _model(self, node: Node) -> Node:
        return node

    def _stop_node(self, node: Node, state: NodeState) -> None:
        node.stop(state)

    def _restart_node_after(self, node: Node, delay_ms: float) -> None:
        self._time.after(delay_ms, self._restart_node, node)

    def _restart_node(self, lost: Node) -> None:
        node = self._fleet.nodes[lost.name] = lost.restarted(self._time.now)
        self._discovery.publish(node, "up")

    def _remove_or_replace(self, fault: Fault, nodes: list[Node]) -> None:
        step_ms = fault.for_s * 1000 / max(1, len(nodes))
        for turn, node in enumerate(nodes):
            if fault.kind == "crash":
                node.stop(NodeState.DOWN)
                self._discovery.publish(node, "gone")
                self._time.after(fault.for_s * 1000, self._join_node)
                continue
            delay_ms = step_ms * turn if fault.kind == "replace" else 0.0
            self._time.after(delay_ms, self._drain_node, node)
            if fault.kind == "replace":
                self._time.after(delay_ms, self._join_node)

    def _drain_node(self, node: Node) -> None:
        if node.state is NodeState.UP:
            node.drain()
            self._discovery.publish(node, "drain")
            self._time.after(DRAIN_MS, self._remove_drained_node, node)

    def _remove_drained_node(self, node: Node) -> None:
        if node.state is NodeState.DRAINING:
            node.stop(NodeState.DOWN)
            self._discovery.publish(node, "gone")

    def _join_node(self) -> None:
        """Add a cold node."""
        self._discovery.publish(self._fleet.add_node(self._time.now), "up")

    def _running_gateways(self) -> Iterable[int]:
        return (number for number, gateway in self._fleet.gateways.items() if gateway is not None)

    def _gateway(self, number: int) -> ModelGateway:
        gateway = self._fleet.gateways[number]
        if gateway is None:
            raise GatewayNotRunningError(number)
        return gateway

    def _kill_gateway(self, number: int) -> None:
        self._gateway(number).kill()
        if self._fleet.cluster is not None:
            self._fleet.cluster.kill(number)
        self._fleet.gateways[number] = None

    def _start_gateway(self, number: int) -> None:
        self._fleet.start_gateway(number)

    def _suspend_gateway(self, number: int) -> Callable[[], None]:
        gateway, cluster = self._gateway(number), self._fleet.cluster
        gateway.suspend()
        if cluster is not None:
            cluster.suspend(number)

        def resume() -> None:
            gateway.resume()
            if cluster is not None and cluster.members[number].is_alive:
                cluster.resume(number)

        return resume

    def _reload_gateway(self, number: int) -> None:
        self._journal.add(self._time.now, "gateway", number, "reloaded")

    def _split_gateways(self, fault: Fault) -> list[Node]:
        if self._fleet.cluster is not None:
            split = FleetFault("split", 0.0, parts=(fault.part, 1 - fault.part))
            self._fleet.cluster.begin_fault(split, fault.for_s * 1000)
        return []
