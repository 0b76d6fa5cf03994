"""Fault injection for runs on sockets: into emulated nodes, and into gateway processes by signals."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from hallhitch.lab.errors import GatewayNotRunningError
from hallhitch.lab.fault_injection import DRAIN_MS, FaultInjector, FaultTargets
from hallhitch.lab.node import Node, NodeState
from hallhitch.lab.scenario import Fault
from hallhitch.lab.sockets.emulated_node import EmulatedNode
from hallhitch.lab.sockets.listener import TaskOwner


class SocketFleet(Protocol):
    """The nodes and gateway processes of a run on sockets."""

    nodes: dict[str, EmulatedNode]
    processes: dict[int, asyncio.subprocess.Process | None]
    tasks: TaskOwner

    def add_node(self, started_at: float) -> Awaitable[EmulatedNode]:
        """Add a node; with `started_at` 0 it is warm."""

    def restart_node(self, lost_node: EmulatedNode) -> Awaitable[EmulatedNode]:
        """Start a cold node with the name of a lost one, in its place."""

    async def start_gateway(self, number: int) -> None:
        """Start a gateway's process and wait until it serves."""

    async def reload_gateway(self, number: int, process: asyncio.subprocess.Process) -> None:
        """Have a gateway's process reload its configuration file."""


class SocketFaultInjector(FaultInjector[EmulatedNode]):
    """Injects faults into emulated nodes and gateway processes."""

    def __init__(self, targets: FaultTargets, fleet: SocketFleet) -> None:
        super().__init__(targets)
        self._fleet = fleet

    def _on_injected(self, fault: Fault) -> None:
        pass  # the end of a fault is not journalled in runs on sockets

    def _nodes(self) -> Iterable[EmulatedNode]:
        return self._fleet.nodes.values()

    def _model(self, node: EmulatedNode) -> Node:
        return node.model

    def _stop_node(self, node: EmulatedNode, state: NodeState) -> None:
        node.stop(state)

    def _restart_node_after(self, node: EmulatedNode, delay_ms: float) -> None:
        self._fleet.tasks.spawn(self._restart_node(node, delay_ms))

    async def _restart_node(self, lost_node: EmulatedNode, delay_ms: float) -> None:
        await asyncio.sleep(delay_ms / 1000)
        node = await self._fleet.restart_node(lost_node)
        self._discovery.publish(node.model, "up")

    def _remove_or_replace(self, fault: Fault, nodes: list[EmulatedNode]) -> None:
        for index, node in enumerate(nodes):
            delay_ms = fault.for_s * 1000 * index / len(nodes) if fault.kind == "replace" else 0.0
            self._time.after(delay_ms, self._spawn_removal, fault, node)

    def _spawn_removal(self, fault: Fault, node: EmulatedNode) -> None:
        self._fleet.tasks.spawn(self._remove_node(fault, node))

    async def _remove_node(self, fault: Fault, node: EmulatedNode) -> None:
        """Crash, drain or replace a node; a cold node takes the place of a crashed or replaced one."""
        if node.model.state is not NodeState.UP:
            return
        if fault.kind == "crash":
            node.stop(NodeState.DOWN)
            self._discovery.publish(node.model, "gone")
            await asyncio.sleep(fault.for_s)
        else:
            node.model.drain()
            self._discovery.publish(node.model, "drain")
        if fault.kind != "drain":
            replacement = await self._fleet.add_node(self._time.now)
            self._discovery.publish(replacement.model, "up")
        if fault.kind != "crash":
            await asyncio.sleep(DRAIN_MS / 1000)
            self._remove_drained_node(node)

    def _remove_drained_node(self, node: EmulatedNode) -> None:
        if node.model.state is NodeState.DRAINING:
            node.stop(NodeState.DOWN)
            self._discovery.publish(node.model, "gone")

    def _running_gateways(self) -> Iterable[int]:
        return (number for number, process in self._fleet.processes.items() if process is not None)

    def _process(self, number: int) -> asyncio.subprocess.Process:
        process = self._fleet.processes[number]
        if process is None:
            raise GatewayNotRunningError(number)
        return process

    def _kill_gateway(self, number: int) -> None:
        process = self._process(number)
        self._journal.add(self._time.now, "gateway", number, "killed")
        process.kill()
        self._fleet.processes[number] = None

    def _start_gateway(self, number: int) -> None:
        self._fleet.tasks.spawn(self._fleet.start_gateway(number))

    def _suspend_gateway(self, number: int) -> Callable[[], None]:
        """Suspend a gateway's process (SIGSTOP); its connections stay open. Returns the function to resume it."""
        process = self._process(number)
        self._journal.add(self._time.now, "gateway", number, "stopped")
        process.send_signal(signal.SIGSTOP)

        def resume() -> None:
            if process.returncode is None:
                self._journal.add(self._time.now, "gateway", number, "resumed")
                process.send_signal(signal.SIGCONT)

        return resume

    def _reload_gateway(self, number: int) -> None:
        self._fleet.tasks.spawn(self._fleet.reload_gateway(number, self._process(number)))
