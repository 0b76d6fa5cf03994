"""A run of a scenario on sockets: starts emulated parties and gateway processes, sends requests and injects faults.

The models, the traffic and the faults are those of virtual runs, and the journal has the same events, so the same
checker reads it. Discovery and the counter have one listener per gateway, so that each link can fail on its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

from hallhitch.decision import api
from hallhitch.lab.errors import GatewayStartError
from hallhitch.lab.fault_injection import FaultTargets
from hallhitch.lab.front_router import FrontRouter
from hallhitch.lab.http_messages import Reader
from hallhitch.lab.journal import Journal
from hallhitch.lab.model_network import ModelNetwork
from hallhitch.lab.node_factory import NodeFactory
from hallhitch.lab.scenario import Scenario, journal_header
from hallhitch.lab.services import Counter, Discovery
from hallhitch.lab.sockets.counter_listener import start_counter_listener
from hallhitch.lab.sockets.discovery_agent import DiscoveryAgent, describe_host
from hallhitch.lab.sockets.emulated_node import EmulatedNode
from hallhitch.lab.sockets.environment import RequestRegistry, SocketEnvironment
from hallhitch.lab.sockets.faults import SocketFaultInjector
from hallhitch.lab.sockets.gateway_config import gateway_settings
from hallhitch.lab.sockets.http_clients import HttpClients, OnSecond
from hallhitch.lab.sockets.listener import Listener, LoopTime, TaskOwner, free_port
from hallhitch.lab.streams import Streams
from hallhitch.lab.traffic import Traffic, draw_traffic
from hallhitch.lab.virtual_run import LAST_ANSWERS_MS

START_TIMEOUT_S: Final = 60.0  # until a gateway logs `serving`; covers many gateways that start at once
STOP_TIMEOUT_S: Final = 10.0  # from SIGTERM to SIGKILL
CONCURRENT_STARTS: Final = 16  # limited because each start keeps a processor busy for a while
FIRST_REQUEST_DELAY_S: Final = 0.2  # before the first request is due, so that it is not sent late


class SocketRun:
    """One run on sockets. `on_second` is called every second with the counts of statuses so far."""

    module = "hallhitch"  # the module run as the gateway; a measurement may replace it by a wrapper

    def __init__(self, scenario: Scenario, seed: int, on_second: OnSecond | None = None) -> None:
        self.scenario = scenario
        self.seed = seed
        self._on_second = on_second
        self.traffic: Traffic = draw_traffic(scenario, seed)
        self.settings = scenario.settings(self.traffic.rates)
        self.nodes: dict[str, EmulatedNode] = {}
        self.processes: dict[int, asyncio.subprocess.Process | None] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.tasks = TaskOwner()
        self._agents: list[DiscoveryAgent] = []
        self._counter_listeners: list[Listener] = []
        self._replaced_listeners: list[Listener] = []  # listeners that reloaded gateways no longer use
        self._started: list[asyncio.subprocess.Process] = []

    @property
    def statuses(self) -> dict[str, int]:
        """The number of tries so far, by the status that they ended with."""
        return self._clients.statuses

    @property
    def p99_send_delay_ms(self) -> float:
        """The 99th percentile of send delays; if it is large, the rig itself distorts the latencies."""
        delays_ms = sorted(self._clients.send_delays_ms)
        return delays_ms[len(delays_ms) * 99 // 100] if delays_ms else 0.0

    async def reaches(self, gateway: int, party: str) -> bool:
        """Whether data from a gateway reaches a party; on a stalled link, waits until the stall ends."""
        return (gateway, party) not in self.network.cut

    async def play(self) -> None:
        """Run the scenario to its end; the events are in `journal`."""
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self.open(Path(folder))
                await self.run_workload()
            finally:
                await self.close()

    async def open(self, folder: Path) -> None:
        """Start all parties and wait until the gateways serve."""
        self._folder = folder
        world, streams = self.scenario.world, Streams(self.seed)
        self.time = LoopTime()
        self.journal = Journal(self.time.now)
        self.network = ModelNetwork(world, streams.of("network"))
        self.counter = Counter(world, self.time, streams.of("counter"))
        self.discovery = Discovery(world, self.time, streams.of("discovery"))
        self._environment = SocketEnvironment(
            world,
            self.settings,
            self.time,
            self.journal,
            self.network,
            self.counter,
            self.discovery,
            RequestRegistry(),
            self.reaches,
        )
        faults = streams.of("faults")
        self.router = FrontRouter(world.gateways, self._is_running, faults)
        self._fault_injector = SocketFaultInjector(
            FaultTargets(self.time, self.journal, self.network, self.counter, self.discovery, self.router, faults),
            self,
        )
        self._clients = HttpClients(
            self._environment, self.router, self.tasks, self.addresses, self._is_running, self._on_second
        )
        self._node_factory = NodeFactory(world, self.time, self.journal, streams)
        self.journal.add(self.time.now, "world", *journal_header(self.scenario, self.settings))
        await self._start_parties()
        await self._start_gateways()

    async def _start_parties(self) -> None:
        """Start nodes, discovery and counter."""
        world = self.scenario.world
        for _ in range(world.nodes):
            node = await self.add_node(0.0)
            self.discovery.register(node.model)
        self._saved_entries = list(self.discovery.entries.values())
        for number in range(world.gateways):
            self._agents.append(await DiscoveryAgent(number, self._environment, self._describe_host).start())
            self._counter_listeners.append(await start_counter_listener(number, world.counter_form, self._environment))
        for number in range(world.gateways):  # after all listeners, which could otherwise take a port found free here
            self.addresses[number] = self._gateway_address(number)

    async def _start_gateways(self) -> None:
        start_slots = asyncio.Semaphore(CONCURRENT_STARTS)

        async def start(number: int) -> None:
            async with start_slots:
                await self.start_gateway(number)

        await asyncio.gather(*(start(number) for number in range(self.scenario.world.gateways)))

    async def run_workload(self) -> None:
        """Send the requests and inject the faults at their times, then wait for the last answers."""
        begin_s = time.monotonic() + FIRST_REQUEST_DELAY_S
        for fault in self.scenario.faults:
            delay_s = begin_s - time.monotonic() + fault.at_s
            asyncio.get_running_loop().call_later(delay_s, self._fault_injector.inject, fault)
        await self._clients.send_all(self.traffic.planned_requests, begin_s)
        longest_deadline_ms = max(request_class.deadline for request_class in self.settings.classes)
        await asyncio.sleep((longest_deadline_ms + LAST_ANSWERS_MS) / 1000)

    async def close(self) -> None:
        """Stop the gateway processes, tasks and listeners of this run."""
        running = [process for process in self._started if process.returncode is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in running:
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                process.kill()
        await self.tasks.cancel()
        listeners = [*self._replaced_listeners, *self._counter_listeners]
        listeners += [agent.listener for agent in self._agents]
        listeners += [node.listener for node in self.nodes.values()]
        for listener in listeners:
            listener.stop()

    # Nodes.

    async def add_node(self, started_at: float) -> EmulatedNode:
        """Add a node; with `started_at` 0 it is warm."""
        model = self._node_factory.create(len(self.nodes), started_at)
        node = self.nodes[model.name] = await EmulatedNode(model, self._environment).start()
        return node

    async def restart_node(self, lost_node: EmulatedNode) -> EmulatedNode:
        """Start a cold node with the name of a lost one, in its place."""
        node = await EmulatedNode(lost_node.model.restarted(self.time.now), self._environment).start()
        self.nodes[node.model.name] = node
        return node

    def _describe_host(self, entry: api.ServerEntry) -> dict[str, Any]:
        return describe_host(entry, self.nodes[entry.server].listener.address)

    # Gateways. Subclasses override what differs for gateways with membership.

    def on_log_line(self, number: int, line: bytes) -> None:
        """Handle a line of a gateway's log; does nothing by default."""

    def _gateway_address(self, number: int) -> tuple[str, int]:
        return "127.0.0.1", free_port()

    def _gateway_config(self, number: int) -> dict[str, Any]:
        """The content of a gateway's configuration file, in the platform's format."""
        world = self.scenario.world
        host, port = self.addresses[number]
        return {
            "name": f"n{number}",
            "listen": f"{host}:{port}",
            "settings": gateway_settings(self.settings, number, world.gateways, world.zones),
            "discovery": self._agents[number].listener.address,
            "counter": self._counter_listeners[number].address,
            "seed": f"{self.seed * 1000 + number:016x}",
            "limits": {"sockets": 1024},
            "known": {
                "seq": 1,
                "whole": True,
                "hosts": [self._describe_host(entry) for entry in self._saved_entries],
            },
        }

    def _gateway_arguments(self, number: int) -> list[str]:
        """The command-line arguments of a gateway's process."""
        if self.scenario.world.counter_form != "resp":
            return []
        path = self._folder / f"n{number}.toml"
        counter = self._counter_listeners[number].address
        path.write_text(f'listen = "127.0.0.1:{free_port()}"\ncounter = "{counter}"\n')
        return ["--resp", str(path)]

    def _config_path(self, number: int) -> Path:
        return self._folder / f"n{number}.json"

    def _is_running(self, number: int) -> bool:
        return self.processes.get(number) is not None

    async def start_gateway(self, number: int) -> None:
        """Start a gateway's process and read its log until it serves.

        Raises:
            GatewayStartError: the process ended before it served.
        """
        path = self._config_path(number)
        path.write_text(json.dumps(self._gateway_config(number)))
        environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            self.module,
            *self._gateway_arguments(number),
            env=environ | {"EDGE_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
            cwd=Path(__file__).parents[3],
        )
        self._started.append(process)
        log = process.stderr
        if log is None:
            raise GatewayStartError(number)
        while b'"serving"' not in (line := await asyncio.wait_for(log.readline(), START_TIMEOUT_S)):
            if not line:
                raise GatewayStartError(number)
            self.on_log_line(number, line)
        self.tasks.spawn(self._follow_log(number, log))
        self.processes[number] = process
        self._clients.drop_connections(number)
        self.journal.add(self.time.now, "gateway", number, "up")
        self.discovery.watch(number, self._agents[number].on_server_list)

    async def reload_gateway(self, number: int, process: asyncio.subprocess.Process) -> None:
        """Move discovery and the counter to other ports and have the gateway reload its configuration file."""
        self._replaced_listeners += [self._counter_listeners[number], self._agents[number].listener]
        self._counter_listeners[number] = await start_counter_listener(number, "http", self._environment)
        await self._agents[number].start()
        self._config_path(number).write_text(json.dumps(self._gateway_config(number)))
        self.journal.add(self.time.now, "gateway", number, "reloaded")
        process.send_signal(signal.SIGHUP)

    async def _follow_log(self, number: int, log: Reader) -> None:
        while line := await log.readline():
            self.on_log_line(number, line)


def play(scenario: Scenario, seed: int, on_second: OnSecond | None = None) -> SocketRun:
    """Run a scenario on sockets in real time; returns the finished run."""
    run = SocketRun(scenario, seed, on_second)
    asyncio.run(run.play())
    return run
