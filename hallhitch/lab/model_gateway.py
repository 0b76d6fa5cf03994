"""One modelled gateway: the real core and decision module on modelled ports, in a process that can stop and die."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hallhitch.core.deadlines import Deadlines
from hallhitch.core.module import Core
from hallhitch.decision import api
from hallhitch.lab.baselines import NodeLoads, make_decision_module
from hallhitch.lab.client_request import ClientRequest
from hallhitch.lab.model_upstream import ModelCounter, ModelUpstream, UpstreamEnvironment
from hallhitch.lab.process_time import ProcessTime
from hallhitch.lab.streams import Stream
from hallhitch.lab.virtual import VirtualTime


@dataclass(frozen=True, slots=True)
class GatewayStart:
    """What a gateway process starts with."""

    settings: api.Settings
    seed: int
    stream: Stream
    saved_entries: tuple[api.ServerEntry, ...]  # the server list that it has saved
    node_loads: NodeLoads | None = None


class ModelGateway:
    """The real core and decision module of one gateway on modelled ports."""

    def __init__(self, number: int, start: GatewayStart, environment: UpstreamEnvironment, time: VirtualTime) -> None:
        self.number = number
        self._time = ProcessTime(time)
        self._journal = environment.journal
        world = environment.world
        module = make_decision_module(world, start.settings, start.seed, start.node_loads)
        self.core = Core(module, Deadlines(self._time, self._time), self._time, f"gateway {number}")
        self.upstream = ModelUpstream(self.core, number, environment, self._time, start.stream)
        self.core.upstream = self.upstream
        self.core.counter = ModelCounter(self.core, number % world.zones, environment, self._time)
        self._journal.add(time.now, "gateway", number, "up")
        self._time.run(self._apply_server_list, api.ServerList("saved", start.saved_entries))

    def on_server_list(self, update: api.ServerList) -> None:
        """Receive an update of discovery."""
        self._time.run(self._receive_server_list, update)

    def set_peers(self, peers: api.Peers) -> None:
        """Receive the view of the other gateways."""
        self._time.run(self.core.post, peers)

    def run(self, callback: Callable[[], None]) -> None:
        """Run a callback in the process: now, or once it is resumed."""
        self._time.run(callback)

    def suspend(self) -> None:
        """Stop the process (SIGSTOP)."""
        self._time.suspend()
        self._journal.add(self._time(), "gateway", self.number, "stopped")

    def resume(self) -> None:
        """Continue the process (SIGCONT), unless it is dead."""
        if self._time.is_alive:
            self._journal.add(self._time(), "gateway", self.number, "resumed")
            self._time.resume()

    def kill(self) -> None:
        """End the process at once (SIGKILL)."""
        self._time.is_alive = False
        self._journal.add(self._time(), "gateway", self.number, "killed")

    def begin(self, request: ClientRequest, deadline_ms: float, is_retry: bool) -> int:
        """Begin the exchange of a client's request; its number in the core."""
        planned_request = request.planned_request
        request_class = self.core.gateway.config.classes[planned_request.class_index]
        return self.core.open_exchange(
            planned_request.customer.name,
            planned_request.customer.plan_index,
            planned_request.class_index,
            deadline_ms,
            request,
            request,
            units=1.0,
            spread=float(planned_request.customer.gateway_count),
            is_write=request_class.effect != api.SAFE,
            is_retry=is_retry,
        )

    def _receive_server_list(self, update: api.ServerList) -> None:
        for entry in update.entries:
            self._journal.add(self._time(), "told", self.number, entry.server, entry.state)
        self._apply_server_list(update)

    def _apply_server_list(self, update: api.ServerList) -> None:
        self.upstream.on_server_list(update)
        self.core.post(update)
