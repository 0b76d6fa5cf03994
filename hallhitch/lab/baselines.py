"""Baselines of server selection, for comparison only: the decision module with only its server selection replaced.

A scenario selects one by `world.choice`, so each gets the same traffic, faults and draws as the decision module.
`informed` cannot be built in practice: it reads the load of every node with a given delay, and so is an upper bound on
what any exchange of loads between gateways could gain at that delay.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from hallhitch.decision import api
from hallhitch.decision.policy import Gateway
from hallhitch.decision.state import OpenRequest, Server
from hallhitch.lab.errors import LabError
from hallhitch.lab.node import Node
from hallhitch.lab.scenario import WorldSettings
from hallhitch.lab.virtual import VirtualTime

SAMPLE_INTERVAL_MS: Final = 5.0  # between samples of the load of all nodes; short compared with a request
ROUND_ROBIN_STARTS: Final = 10_000  # number of node names after which a round robin may start


class MissingNodeLoadsError(LabError):
    """The choice `informed` was requested without `NodeLoads`."""

    def __init__(self) -> None:
        super().__init__("world.choice 'informed' needs the loads of the nodes")


class SelectionBaseline(Gateway):
    """The decision module with a different choice among the servers that accept a request."""

    uses_subset = True  # whether it selects within the module's subset of servers, or among all

    def select_server(self, r: OpenRequest) -> Server | None:
        """Select a server that accepts the request and has not been tried for it, or None."""
        if self.now >= self.subset_expires_at:
            self.select_subset()
        tried = [attempt.entry.server for attempt in r.attempts]
        candidates = self.subset if self.uses_subset else self.pool
        accepting = [server for server in candidates if server.entry.server not in tried and self.accepts(server, r)]
        return self.pick(accepting, r) if accepting else None

    def pick(self, accepting: list[Server], request: OpenRequest) -> Server:
        """Pick one of the accepting servers."""
        raise NotImplementedError


class UniformChoice(SelectionBaseline):
    """Picks a server at random."""

    def pick(self, accepting: list[Server], request: OpenRequest) -> Server:
        """Return a random server."""
        return self.rng.choice(accepting)


class RoundRobin(SelectionBaseline):
    """Picks servers in turn, in the order of their names from a random start."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._last = f"node-{self.rng.randrange(ROUND_ROBIN_STARTS)}"

    def pick(self, accepting: list[Server], request: OpenRequest) -> Server:
        """Return the server whose name follows the last one."""
        server = min(accepting, key=lambda server: (server.entry.server <= self._last, server.entry.server))
        self._last = server.entry.server
        return server


class TwoChoices(SelectionBaseline):
    """Picks the server with fewer requests in flight from this gateway, of two at random (power of two choices)."""

    def pick(self, accepting: list[Server], request: OpenRequest) -> Server:
        """Return the less loaded of two random servers."""
        sample = self.rng.sample(accepting, min(2, len(accepting)))
        return min(sample, key=lambda server: len(server.in_flight))


class LeastInFlight(SelectionBaseline):
    """Picks the server with the fewest requests in flight from this gateway; ties are broken at random."""

    def pick(self, accepting: list[Server], request: OpenRequest) -> Server:
        """Return the least loaded server; ties are broken at random."""
        return min(accepting, key=lambda server: (len(server.in_flight), self.rng.random()))


class InformedChoice(SelectionBaseline):
    """Picks by the decision module's latency prediction, with the load that other gateways put on each server."""

    load_of: Callable[[str], float]

    def pick(self, accepting: list[Server], request: OpenRequest) -> Server:
        """Return the server with the lowest predicted latency."""

        def predicted_latency(server: Server) -> float:
            from_others = max(0.0, self.load_of(server.entry.server) - len(server.in_flight))
            return self.predict_latency(server, request, start=from_others + self.rng.expovariate(1.0))

        return min(accepting, key=predicted_latency)


CHOICES: Final[dict[str, type[Gateway]]] = {
    "module": Gateway,
    "uniform": UniformChoice,
    "round_robin": RoundRobin,
    "two": TwoChoices,
    "least": LeastInFlight,
    "informed": InformedChoice,
}


class NodeLoads:
    """The load of every node as it was `delay_ms` ago."""

    def __init__(self, nodes: dict[str, Node], delay_ms: float, time: VirtualTime) -> None:
        self._nodes = nodes
        self._delay_ms = delay_ms
        self._time = time
        self._samples: deque[dict[str, int]] = deque(maxlen=1 + round(delay_ms / SAMPLE_INTERVAL_MS))
        if delay_ms:
            self._sample()

    def load_of(self, name: str) -> float:
        """Return the number of requests in service and queued at a node."""
        if self._delay_ms:
            return float(self._samples[0].get(name, 0))
        node = self._nodes.get(name)
        return float(node.request_count) if node is not None else 0.0

    def _sample(self) -> None:
        self._samples.append({name: node.request_count for name, node in self._nodes.items()})
        self._time.after(SAMPLE_INTERVAL_MS, self._sample)


def make_decision_module(
    world: WorldSettings, settings: api.Settings, seed: int, node_loads: NodeLoads | None
) -> Gateway:
    """Create the decision module of one of the scenario's gateways.

    Raises:
        MissingNodeLoadsError: the choice is `informed` and `node_loads` is None.
    """
    module = CHOICES[world.choice](settings, seed)
    if isinstance(module, SelectionBaseline):
        module.uses_subset = world.choice_near
    if isinstance(module, InformedChoice):
        if node_loads is None:
            raise MissingNodeLoadsError
        module.load_of = node_loads.load_of
    return module
