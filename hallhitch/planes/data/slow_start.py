"""Cold backends: which are cold, and what this gateway may send them, so that all together stay within the bound.

While cold a backend belongs to the first few gateways in its rendezvous order, each with a fixed part of the bound.
Owns the presumptions and the log of one second for each backend. Must never trust that the others see what it sees:
one place more than there are owners is left free.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from hallhitch.planes.data.rendezvous import RendezvousWeights
from hallhitch.planes.values import Backend, Gateway, Service

OWNERS = 2  # gateways a cold backend belongs to: one may be gone without anybody knowing
PARTS = OWNERS + 1  # parts the bound is cut into: a view that lacks one gateway makes one owner more
SECOND = 1100.0  # ms: the rule's second, and what a connection may take between the choice and the sending
SETTLE = 1500.0  # ms after its start, or after a newcomer, for which a gateway takes its view for unfinished
REMEMBER = 6000.0  # ms for which a gateway that has gone keeps its place: it may only be unseen
NEW = 0.5  # of the cold time: what a new life gets whose entry does not say that it is cold
WARMING = 1500.0  # ms after the cold time over which the room of a backend grows to its own


@dataclass(slots=True)
class WarmingBackend:
    until: float = 0.0  # steady ms until which it is taken for cold: the latest moment told or presumed
    sent: deque[float] = field(default_factory=deque)


class SlowStart:
    """Answers what is cold and whether one more may go there now."""

    def __init__(
        self, own: str, region: str, over: float, slack: float, lag: float, weights: RendezvousWeights
    ) -> None:
        self._own, self._region = own, region
        self._over, self._slack, self._lag, self._weights = over, slack, lag, weights
        self._lives: dict[str, WarmingBackend] = {}
        self._told = False
        self._regions: dict[str, str] = {}
        self._seen: dict[str, float] = {}  # when each gateway was last told
        self._since: dict[str, float] = {}  # when the view of a region's gateways grew last
        self._evacuated: frozenset[str] = frozenset()
        self._mine: dict[str, bool] = {}

    def backends(self, now: float, entries: Sequence[Backend], services: Mapping[str, Service]) -> None:
        """All backends as last told: a life first seen while this process was up is taken for cold."""
        known = self._lives
        self._lives = {}
        for entry in entries:
            life = known.get(entry.instance)
            if life is None:
                life = WarmingBackend()
                service = services.get(entry.service)
                if self._told and service is not None:
                    part = 1.0 if entry.warming_until_ms > now else NEW
                    life.until = now + part * service.slow_start_ms
            if entry.warming_until_ms > now:
                life.until = max(life.until, entry.warming_until_ms)
            self._lives[entry.instance] = life
        self._told = self._told or bool(entries)
        self._mine.clear()

    def gateways(self, now: float, entries: Sequence[Gateway]) -> None:
        """All gateways that live, as last told; those not told any more keep their places for a while."""
        for entry in entries:
            if not entry.frontend and entry.name != self._own:
                continue
            if entry.name not in self._seen:
                self._since[entry.region] = now
            self._seen[entry.name], self._regions[entry.name] = now, entry.region
        if self._own not in self._seen:
            self._since[self._region] = now
        self._seen[self._own], self._regions[self._own] = now, self._region
        for name in [n for n, at in self._seen.items() if now - at > REMEMBER]:
            del self._seen[name], self._regions[name]
        self._mine.clear()

    def evacuated(
        self, now: float, zones: frozenset[str], entries: Sequence[Backend], services: Mapping[str, Service]
    ) -> None:
        """The zones that are evacuated: those taken back may have turned cold, and the list tells it late."""
        back = self._evacuated - zones
        self._evacuated = zones
        for entry in entries:
            service = services.get(entry.service)
            if entry.zone in back and service is not None:
                self.presume(entry.instance, now + service.slow_start_ms + 2.0 * self._lag)

    def presume(self, instance: str, until: float) -> None:
        """Take it for cold until then."""
        life = self._lives.get(instance)
        if life is not None:
            life.until = max(life.until, until)

    def until(self, backend: Backend) -> float:
        """Until when it is cold, or was when last seen so (steady ms); in the past = warm, 0 = never seen cold."""
        life = self._lives.get(backend.instance)
        return life.until if life is not None else backend.warming_until_ms

    def part(self, service: Service) -> float:
        """Requests a second that one gateway may send to one cold backend; infinite where no bound was given."""
        if service.slow_start_rate_per_s <= 0:
            return float("inf")
        return (service.slow_start_rate_per_s * self._over + self._slack) // PARTS

    def may(self, now: float, backend: Backend, service: Service) -> bool:
        """Whether one more may go to this cold backend now."""
        part = self.part(service)
        if part == float("inf"):
            return True
        life = self._lives.get(backend.instance)
        if life is None or not self._owner(backend):
            return False
        # A region without gateways is shared by all of them.
        if now - self._since.get(backend.region, max(self._since.values())) < SETTLE:
            return False
        while life.sent and life.sent[0] <= now - SECOND:
            life.sent.popleft()
        return len(life.sent) < part

    def crowd(self, now: float, backend: Backend, service: Service) -> float:
        """This gateway's sends of the last second to a backend, as a share of what it bears while cold.

        It may turn cold at any moment and the list tells it late, so the even way is the safe one.
        """
        life, bound = self._lives.get(backend.instance), service.slow_start_rate_per_s * self._over + self._slack
        if life is None or service.slow_start_rate_per_s <= 0:
            return 0.0
        sent = life.sent
        while sent and sent[0] <= now - SECOND:
            sent.popleft()
        return len(sent) / bound

    def sent(self, now: float, backend: Backend) -> None:
        """One goes there now. Told for all backends: one may turn out to be cold a moment later."""
        life = self._lives.get(backend.instance)
        if life is not None:
            life.sent.append(now)
            if life.sent[0] <= now - SECOND:
                life.sent.popleft()

    def _owner(self, backend: Backend) -> bool:
        mine = self._mine.get(backend.instance)
        if mine is None:
            near = [n for n, region in self._regions.items() if region == backend.region] or list(self._regions)
            mine = self._own in near and self._weights.rank(backend.instance, self._own, near) < OWNERS
            self._mine[backend.instance] = mine
        return mine
