"""The gateway's upstream side on the model: attempts over pooled connections to nodes, and calls of the counter.

Invariants: the core gets the end of an attempt exactly once; a node's `connections` counts the open ones, idle or
in use; an idle connection is reused only by the limits of the real transport
(`IdleTimeStatistics`, `MAX_IDLE_RATIO`). Times in ms.
"""

from __future__ import annotations

from dataclasses import dataclass

from hallhitch.core.deadlines import Deadline
from hallhitch.core.module import Core
from hallhitch.core.ports import Attempt
from hallhitch.decision import api
from hallhitch.lab.client_request import ClientRequest
from hallhitch.lab.errors import UnexpectedPayloadError
from hallhitch.lab.journal import Journal
from hallhitch.lab.model_network import ModelNetwork
from hallhitch.lab.node import DOWN_STATES, Node, NodeState, Work
from hallhitch.lab.process_time import ProcessTime
from hallhitch.lab.scenario import WorldSettings
from hallhitch.lab.services import Counter
from hallhitch.lab.streams import Stream
from hallhitch.net.upstream.client import MAX_IDLE_RATIO
from hallhitch.net.upstream.idle_times import IdleTimeStatistics

CONNECT_TIMEOUT_MS = 250.0  # until a connection that gets no answer is given up: the gateways' `connect-timeout`
MIN_REMAINING_MS = 1.0  # an attempt with less time than this is not sent, as the real transport has it
REUSABLE_OUTCOMES = ("ok", "full", "error")  # the node has answered well-formed: its connection can be kept
# A malformed response is an error to the gateway; of two responses it reads the first.
OUTCOME_AT_GATEWAY = {"spoilt": "error", "twice": "ok"}


@dataclass(frozen=True, slots=True)
class UpstreamEnvironment:
    """The parts of a run that a gateway's upstream side acts on."""

    world: WorldSettings
    nodes: dict[str, Node]
    counter: Counter
    network: ModelNetwork
    journal: Journal


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A pooled connection: since when it is idle, and the start of the node process that it leads to."""

    idle_since: float
    node_started_at: float


@dataclass(slots=True, eq=False)
class ModelAttempt:
    """An attempt under way."""

    attempt: Attempt
    request: ClientRequest
    node: Node | None
    idle_ms: float | None = None  # how long its connection was idle; None for a new connection
    is_sent: bool = False
    is_ended: bool = False
    time_limit: Deadline | None = None


class ModelUpstream:
    """Carries attempts over modelled connections, pooled as the real transport pools them."""

    def __init__(
        self, core: Core, gateway_number: int, environment: UpstreamEnvironment, time: ProcessTime, stream: Stream
    ) -> None:
        self._core = core
        self._gateway_number = gateway_number
        self._world = environment.world
        self._zone = gateway_number % environment.world.zones
        self._nodes = environment.nodes
        self._network = environment.network
        self._journal = environment.journal
        self._time = time
        self._stream = stream
        self._deadlines = core.deadlines
        self._pools: dict[str, list[IdleConnection]] = {}
        self._in_flight: dict[tuple[int, int], ModelAttempt] = {}
        self._idle_times = IdleTimeStatistics(time)
        self.is_up: dict[str, bool] = {}

    def on_server_list(self, update: api.ServerList) -> None:
        """Apply an update of discovery: the state of a node is checked again before a request is written."""
        if update.mode != "changes":
            self.is_up = {}
        for entry in update.entries:
            self.is_up[entry.server] = entry.state == "up"

    def start(self, attempt: Attempt) -> None:
        """Start an attempt.

        Raises:
            UnexpectedPayloadError: the payload is no modelled client's request.
        """
        request = attempt.payload
        if not isinstance(request, ClientRequest):
            raise UnexpectedPayloadError(request)
        node = self._nodes.get(attempt.server)
        in_flight = ModelAttempt(attempt, request, node)
        self._in_flight[attempt.exchange_id, attempt.number] = in_flight
        in_flight.time_limit = self._deadlines.call_at(attempt.ends_at, lambda: self._end(in_flight, "timeout"))
        if (self._gateway_number, attempt.server) in self._network.cut:
            self._time.after(CONNECT_TIMEOUT_MS, self._end, in_flight, "unreachable")
        elif self._take_pooled_connection(in_flight):
            self._send(in_flight)
        elif node is None or node.state in DOWN_STATES:
            self._time.after(self._one_way_delay(in_flight), self._end, in_flight, "unreachable")
        elif node.connections >= self._world.connections:
            self._time.after(CONNECT_TIMEOUT_MS, self._end, in_flight, "unreachable")
        else:
            node.charge(self._world.handshake_work)
            handshake_ms = self._stream.uniform(*self._world.handshake)
            self._time.after(2 * self._one_way_delay(in_flight) + handshake_ms, self._send, in_flight)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        in_flight = self._in_flight.get((attempt.exchange_id, attempt.number))
        if in_flight is not None:
            self._end(in_flight, "cancelled")

    def _take_pooled_connection(self, in_flight: ModelAttempt) -> bool:
        """Take the connection that was idle the shortest, dropping those that can no longer be used."""
        node, now = in_flight.node, self._time()
        pool = self._pools.get(in_flight.attempt.server, [])
        max_idle_ms = min(self._idle_times.max_idle_ms(), self._world.keepalive * MAX_IDLE_RATIO)
        while pool:
            connection = pool.pop()
            if node is None:
                continue
            node.connections -= 1
            idle_ms = now - connection.idle_since
            is_same_process = node.started_at == connection.node_started_at
            if idle_ms <= max_idle_ms and is_same_process and node.state is NodeState.UP:
                in_flight.idle_ms = idle_ms
                return True
        return False

    def _send(self, in_flight: ModelAttempt) -> None:
        """Write the request, unless its attempt has ended or is void by now."""
        if in_flight.is_ended:
            return None
        attempt, node, now = in_flight.attempt, in_flight.node, self._time()
        has_time = attempt.ends_at - now >= MIN_REMAINING_MS
        if node is None or not attempt.is_wanted or not has_time or not self.is_up.get(attempt.server, False):
            return self._end(in_flight, "void")
        node.connections += 1
        in_flight.is_sent = True
        self._journal.add(now, "send", in_flight.request.id, attempt.number, self._gateway_number, attempt.server)
        is_stale = in_flight.idle_ms is not None and in_flight.idle_ms > self._network.stale
        delay_ms = self._one_way_delay(in_flight)
        if is_stale or self._network.draw_reset():
            if not is_stale and not self._network.draw_lost_before_arrival():
                self._time.after(delay_ms, node.take, self._work(in_flight, is_reply_lost=True))
            self._time.after(2 * delay_ms, self._end, in_flight, "reset")
            return None
        self._time.after(delay_ms, node.take, self._work(in_flight))
        return None

    def _work(self, in_flight: ModelAttempt, is_reply_lost: bool = False) -> Work:
        """Make the node's part of an attempt."""
        request, attempt = in_flight.request, in_flight.attempt
        request_class = self._core.gateway.config.classes[request.planned_request.class_index]

        def on_reply(outcome: str, echo: int) -> None:
            if not is_reply_lost:
                self._time.after(self._one_way_delay(in_flight), self._on_reply, in_flight, outcome, echo)

        return Work(
            request.id,
            attempt.number,
            request.planned_request.service_ms,
            attempt.ends_at,
            request.planned_request.key,
            request_class.repeat_window,
            request_class.effect != api.SAFE,
            on_reply,
        )

    def _on_reply(self, in_flight: ModelAttempt, outcome: str, echo: int) -> None:
        """Receive a node's response; a malformed or doubled one costs its connection."""
        is_reusable = outcome in REUSABLE_OUTCOMES
        self._end(in_flight, OUTCOME_AT_GATEWAY.get(outcome, outcome), echo, is_reusable)

    def _end(self, in_flight: ModelAttempt, outcome: str, echo: int = 0, is_reusable: bool = False) -> None:
        """Report the end of an attempt, once; its connection is pooled or closed."""
        if in_flight.is_ended:
            return
        in_flight.is_ended = True
        self._deadlines.cancel(in_flight.time_limit)
        attempt = in_flight.attempt
        del self._in_flight[attempt.exchange_id, attempt.number]
        if in_flight.is_sent:
            self._journal.add(self._time(), "done", in_flight.request.id, attempt.number, outcome)
            self._idle_times.observe(in_flight.idle_ms, outcome == "reset")
            self._release_connection(in_flight, is_reusable)
        self._core.on_attempt_ended(attempt, outcome, echo if outcome == "ok" else None)

    def _release_connection(self, in_flight: ModelAttempt, is_reusable: bool) -> None:
        server, node = in_flight.attempt.server, in_flight.node
        if node is None:
            return
        if is_reusable and self.is_up.get(server, False):
            self._pools.setdefault(server, []).append(IdleConnection(self._time(), node.started_at))
        else:
            node.connections -= 1

    def _one_way_delay(self, in_flight: ModelAttempt) -> float:
        node = in_flight.node
        return self._network.delay(self._zone, node.zone if node is not None else self._zone)


class ModelCounter:
    """Calls of the quota counter over the modelled network, each with a time-out."""

    def __init__(self, core: Core, zone: int, environment: UpstreamEnvironment, time: ProcessTime) -> None:
        self._core = core
        self._zone = zone
        self._counter = environment.counter
        self._network = environment.network
        self._timeout_ms = environment.world.counter_timeout
        self._time = time

    def add(self, name: int, units: float, lifetime: float) -> None:
        """Add units to a counter and read its total; the core gets one reply, `timeout` if none comes in time."""
        called_at = self._time()
        is_replied = False

        def on_reply(outcome: str, total: float) -> None:
            nonlocal is_replied
            if not is_replied:
                is_replied = True
                self._core.deadlines.cancel(time_limit)
                self._core.on_counter_reply(name, outcome, total, self._time() - called_at)

        def send_reply(outcome: str, total: float) -> None:
            self._time.after(self._delay(), on_reply, outcome, total)

        time_limit = self._core.deadlines.call_after(self._timeout_ms, lambda: on_reply("timeout", 0.0))
        self._time.after(self._delay(), self._counter.call, name, units, lifetime, send_reply)

    def _delay(self) -> float:
        return self._network.delay(self._zone, 0)  # the counter is in zone 0
