"""Other ways to choose a server, for comparison only: the decision module with nothing but its choice replaced.

They are reached through `world.choice` of a scenario, so they meet the same traffic, faults and draws as the module.
`informed` is no way that could be built: it is told what every node holds, some time late, and shows what any talk
between gateways could give at most at that lateness.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from hallhitch.decision import api
from hallhitch.decision.policy import Gateway
from hallhitch.decision.state import OpenRequest, Server
from hallhitch.lab.node import Node
from hallhitch.lab.scenario import WorldSettings
from hallhitch.lab.virtual import VirtualTime

SAMPLE_INTERVAL_MS = 5.0  # ms between looks at what all nodes hold


class SelectionBaseline(Gateway):
    """The module with another choice among the servers that may take a request."""

    near_only = True  # whether it keeps to the module's few servers, or sends to any

    def select_server(self, r: OpenRequest) -> Server | None:
        """A server, or none."""
        if self.now >= self.subset_expires_at:
            self.select_subset()
        tried = [a.entry.server for a in r.attempts]
        among = self.subset if self.near_only else self.pool
        good = [s for s in among if s.entry.server not in tried and self.accepts(s, r)]
        return self.pick(good, r) if good else None

    def pick(self, good: list[Server], r: OpenRequest) -> Server:
        """One of some."""
        raise NotImplementedError


class UniformChoice(SelectionBaseline):
    """Any of them."""

    def pick(self, good: list[Server], r: OpenRequest) -> Server:
        return self.rng.choice(good)


class RoundRobin(SelectionBaseline):
    """In turn, from a random start."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._last = f"node-{self.rng.randrange(10_000)}"

    def pick(self, good: list[Server], r: OpenRequest) -> Server:
        s = min(good, key=lambda s: (s.entry.server <= self._last, s.entry.server))
        self._last = s.entry.server
        return s


class TwoChoices(SelectionBaseline):
    """Of two at random the one with less out from here."""

    def pick(self, good: list[Server], r: OpenRequest) -> Server:
        return min(self.rng.sample(good, min(2, len(good))), key=lambda s: len(s.in_flight))


class LeastInFlight(SelectionBaseline):
    """With the least out from here; at random among those alike."""

    def pick(self, good: list[Server], r: OpenRequest) -> Server:
        return min(good, key=lambda s: (len(s.in_flight), self.rng.random()))


class InformedChoice(SelectionBaseline):
    """The module's own foresight, told what others have out at each server."""

    held: Callable[[str], float]

    def pick(self, good: list[Server], r: OpenRequest) -> Server:
        def cost(s: Server) -> float:
            others = max(0.0, self.held(s.entry.server) - len(s.in_flight))
            return self.predict_latency(s, r, start=others + self.rng.expovariate(1.0))

        return min(good, key=cost)


CHOICES: dict[str, type[Gateway]] = {
    "module": Gateway,
    "uniform": UniformChoice,
    "round_robin": RoundRobin,
    "two": TwoChoices,
    "least": LeastInFlight,
    "informed": InformedChoice,
}


class LoadBoard:
    """What every node held some time ago."""

    def __init__(self, nodes: dict[str, Node], late: float, time: VirtualTime) -> None:
        self._nodes, self._late, self._time = nodes, late, time
        self._seen: deque[dict[str, int]] = deque(maxlen=1 + round(late / SAMPLE_INTERVAL_MS))
        if late:
            self._look()

    def _look(self) -> None:
        self._seen.append({name: node.request_count for name, node in self._nodes.items()})
        self._time.after(SAMPLE_INTERVAL_MS, self._look)

    def held(self, name: str) -> float:
        """Requests in work and waiting there."""
        if self._late:
            return float(self._seen[0].get(name, 0))
        node = self._nodes.get(name)
        return float(node.request_count) if node is not None else 0.0


def make_decision_module(world: WorldSettings, settings: api.Settings, seed: int, board: LoadBoard | None) -> Gateway:
    """The module that a scenario's gateways decide by."""
    made = CHOICES[world.choice](settings, seed)
    if isinstance(made, SelectionBaseline):
        made.near_only = world.choice_near
    if isinstance(made, InformedChoice):
        assert board is not None
        made.held = board.held
    return made
