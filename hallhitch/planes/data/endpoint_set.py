"""The backends of one service as this gateway sees them: in which order they come, and what each would cost now.

Owns the seats (one a backend life) and the comparison between them. Other gateways' requests are not seen: they are
reckoned from this gateway's own load, and from answers that take longer than usual.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from math import exp
from random import Random

from hallhitch.planes.data.latency import LatencyEstimate, LatencyRatio
from hallhitch.planes.data.outlier_detection import Health, State, UnansweredSends
from hallhitch.planes.data.slow_start import WARMING, SlowStart
from hallhitch.planes.values import Backend, RequestKind, Service

FAR_RANK = 1 << 20
NEAR_LEAST = 6  # backends of its own region that a gateway chooses from first: enough to find an idle one
RANK_LEAST = 3  # gateways that share a backend at first, where there are that many
SAMPLE = 10  # backends looked at beyond those: the best of ten is hardly worse than the best of all
QUEUE = 0.4  # rounds of work that may wait at a backend (its slots over again) while others have no room either
QUEUE_LAST = 0.7  # the same for repeatable requests once all have that much: still better than turning away
LOAD_TIME = 1000.0  # ms over which the own load is averaged to reckon that of others
ZONE = 0.01  # of the target: what another zone of the region costs
ZONE_DOWNLOAD = 0.15
REGION = 0.25  # of the target: what another region costs, in bytes more than in time
COLD = 2.0  # times the usual: what a cold backend takes
DOUBT = 1.0  # of the usual: what a last bad end costs
PART = 0.5  # of the slots: what each gateway but the owner may have there, or those who yield it crowd in together
CROWD = 0.3  # of what a cold backend bears: more than that from one gateway in a second is uneven
CROWD_COST = 3.0  # of the usual, for each such share beyond
NEARLY_FULL = 0.2  # of the usual: what full slots cost though nothing waits; some backends slow down
CHANCE = 0.1  # of the usual: what equals are told apart by


class Locality(IntEnum):
    """Where a backend stands, as seen from here."""

    ZONE = 0
    REGION = 1
    FAR = 2


@dataclass(slots=True, eq=False)
class Endpoint:
    """One backend life and what this gateway has there."""

    backend: Backend
    tier: Locality = Locality.FAR
    rank: int = FAR_RANK
    near: bool = False  # among those chosen from first
    sight: UnansweredSends = field(default_factory=lambda: UnansweredSends(2))
    zone: UnansweredSends = field(default_factory=lambda: UnansweredSends(3))  # shared by all of its zone
    out: int = 0  # requests of this gateway that are, or may be, there
    health: Health = field(default_factory=Health)
    ratio: LatencyRatio = field(default_factory=LatencyRatio)
    late: list[EndpointAttempt] = field(default_factory=list)  # silent ones that hold room still


@dataclass(slots=True, eq=False)
class EndpointAttempt:
    """One sending of an exchange."""

    seat: Endpoint
    at: float
    until: float  # the request's end: nothing works on it any longer
    trial: bool = False
    patience: float = 0.0  # ms
    mark: float | None = None  # what it drew from the budget
    out: bool = True
    silent: bool = False
    arrived: bool = True
    ran: bool = False  # it may have run

    def release(self) -> None:
        """Its room is free again."""
        if self.out:
            self.out = False
            self.seat.out -= 1
            if self.trial:
                self.seat.health.trial = False
            if self in self.seat.late:
                self.seat.late.remove(self)


@dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """What is asked of a seat."""

    now: float
    kind: RequestKind
    unsafe: bool
    target: float
    usual: float
    homes: frozenset[str]
    tried: frozenset[str]
    priority: int


class EndpointSet:
    """All seats of one service."""

    def __init__(self, service: Service, cold: SlowStart) -> None:
        self.service, self.pace = service, LatencyEstimate()
        self.near: list[Endpoint] = []  # own region, low rank
        self.rest: list[Endpoint] = []  # own region otherwise
        self.far: list[Endpoint] = []
        self.waiting: dict[tuple[int, frozenset[str]], int] = {}  # held exchanges by priority and homes
        self.trials = 0.0  # how many trials are due to this service
        self._cold = cold
        self._share = 1.0  # of the region's slots that is this gateway's
        self._load, self._load_at = 0.0, 0.0
        self._slots = self._widest = 1
        self._gateways = 1

    def place(self, seats: list[Endpoint], gateways: int) -> None:
        """Sort the seats anew (tiers and ranks are set); `gateways` of the own region share them."""
        region = [s for s in seats if s.tier is not Locality.FAR]
        self.far = [s for s in seats if s.tier is Locality.FAR]
        self._gateways = max(gateways, 1)
        few = max(RANK_LEAST, -(-NEAR_LEAST * self._gateways // max(len(region), 1)))
        self.near = [s for s in region if s.rank < few]
        self.rest = [s for s in region if s.rank >= few]
        for seat in seats:
            seat.near = False
        for seat in self.near:
            seat.near = True
        self._slots = max(1, sum(s.backend.slots for s in region))
        self._widest = max((s.backend.slots for s in seats), default=1)

    def reckon(self, now: float) -> float:
        """The share of slots taken that others are thought to have, were all as loaded as this gateway."""
        own = sum(s.out for s in self.near) + sum(s.out for s in self.rest)
        busy = min(1.0, own * self._gateways / self._slots)
        self._load += (busy - self._load) * (1.0 - exp(-max(0.0, now - self._load_at) / LOAD_TIME))
        self._load_at = now
        return self._load

    def others(self, seat: Endpoint, load: float) -> float:
        """How many requests of other gateways are likely there."""
        if seat.rank == 0 and seat.tier is not Locality.FAR:
            return 0.0
        return load * seat.backend.slots

    def room(self, seat: Endpoint, load: float, want: SelectionCriteria, queue: float) -> bool:
        """Whether one more may go there, with `queue` rounds allowed to wait."""
        slots = seat.backend.slots
        if seat.late and seat.late[0].until <= want.now:
            for attempt in [a for a in seat.late if a.until <= want.now]:
                attempt.release()
        if self._cold.until(seat.backend) > want.now:
            return seat.out < 2 and self._cold.may(want.now, seat.backend, self.service)
        if seat.rank == 0 and seat.tier is not Locality.FAR:
            most = slots * (1.0 + queue * (0.5 if want.unsafe else 1.0))
        else:
            # What all others may have there as well must not fill it: each has a small part.
            part = slots / self._gateways if want.unsafe or seat.tier is Locality.FAR else slots * PART
            most = max(1.0, part)
        if seat.out + 1 > most:
            return False
        return seat.out + 1 + self.others(seat, load) <= slots * (1.0 + queue)

    def cost(self, seat: Endpoint, load: float, want: SelectionCriteria, rng: Random) -> float:
        """What one more there is expected to take (ms), places and risks reckoned in."""
        slots, now = seat.backend.slots, want.now
        there = seat.out + self.others(seat, load)
        usual = want.usual * seat.ratio.seen(now)
        cold = self._cold.until(seat.backend)
        if cold > now:
            usual *= COLD
        elif cold > now - WARMING and cold > 0.0:
            there += slots * 0.5 * (1.0 - (now - cold) / WARMING)
        cost = usual * (1.0 + max(0.0, there + 1.0 - slots) / slots + NEARLY_FULL * min(1.0, there / slots))
        if seat.health.state(now) is not State.GOOD or self._hushed(seat, now):
            cost += want.usual * DOUBT
        crowd = self._cold.crowd(now, seat.backend, self.service)
        if crowd > CROWD:
            cost += want.usual * (crowd - CROWD) * CROWD_COST
        if seat.tier is Locality.REGION:
            cost += want.target * (ZONE_DOWNLOAD if want.kind == RequestKind.DOWNLOAD else ZONE)
        elif seat.tier is Locality.FAR:
            cost += want.target * REGION
        return cost + want.usual * CHANCE * rng.random()

    def _hushed(self, seat: Endpoint, now: float) -> bool:
        return self.pace.silent(now, seat.sight, seat.zone, seat.tier is Locality.FAR)

    def _usable(self, seat: Endpoint, want: SelectionCriteria) -> bool:
        backend = seat.backend
        return backend.instance not in want.tried and (not want.homes or backend.region in want.homes)

    def _ready(self, seat: Endpoint, want: SelectionCriteria) -> bool:
        now, health = want.now, seat.health
        if not self._usable(seat, want) or now < health.full_until:
            return False
        state = health.state(now)
        if want.unsafe:
            return state is State.GOOD and not self._hushed(seat, now)
        # Those near get their trials one by one; of the others each may be its own trial.
        return (
            state is State.GOOD
            or state is State.DOUBTED
            and seat.out == 0
            or state is State.DUE
            and seat.out == 0
            and not seat.near
        )

    def yields(self, seat: Endpoint, want: SelectionCriteria) -> bool:
        """Whether this seat's room is due to somebody who waits with a higher priority."""
        return any(
            count and priority < want.priority and (not homes or seat.backend.region in homes)
            for (priority, homes), count in self.waiting.items()
        )

    def choose(self, want: SelectionCriteria, rng: Random) -> Endpoint | None:
        """The best seat with room now, None if there is none."""
        load = self.reckon(want.now)
        best = self._best(self.near, load, want, 0.0, rng)
        # Where others are thought to leave no slot free there is none to look for among theirs.
        idle = (1.0 - load) * self._widest >= 1.0
        if best is None and idle:
            best = self._best(self._some(self.rest, rng), load, want, 0.0, rng)
        if best is None:
            best = self._best(self.near, load, want, QUEUE, rng)
        if best is not None:
            return best
        download = want.kind == RequestKind.DOWNLOAD
        region = [s for s in self.near + self.rest if self._usable(s, want)]
        healthy = [s for s in region if self._ready(s, want)]
        if not (download and healthy):
            for queue in (0.0, QUEUE) if idle else (QUEUE,):
                best = self._best(self._some(self.far, rng), load, want, queue, rng)
                if best is not None:
                    return best
        if healthy and not want.unsafe:
            return self._best(healthy, load, want, QUEUE_LAST, rng)
        return None

    def last_resort(self, want: SelectionCriteria, rng: Random) -> Endpoint | None:
        """Where all are set aside or doubted at once it is rather this gateway's own network: the least bad of all."""
        now = want.now
        usable = [s for s in self.near + self.rest if self._usable(s, want) and not s.health.moved]
        usable = usable or [s for s in self.far if self._usable(s, want) and not s.health.moved]
        if not usable or any(s.health.state(now) is State.GOOD for s in usable):
            return None
        usable = [s for s in usable if s.out < max(1, s.backend.slots // 2) and self._warm(s, now)]
        return min(usable, key=lambda s: (s.health.bad_at, rng.random())) if usable else None

    def trial(self, want: SelectionCriteria) -> Endpoint | None:
        """A seat whose pause is over, if a trial is due."""
        if self.trials < 1.0 or want.unsafe or want.kind == RequestKind.DOWNLOAD:
            return None
        for seat in self.near:
            if (
                seat.health.state(want.now) is State.DUE
                and not seat.health.trial
                and not seat.out
                and self._usable(seat, want)
                and self._warm(seat, want.now)
            ):
                return seat
        return None

    def _warm(self, seat: Endpoint, now: float) -> bool:
        return self._cold.until(seat.backend) <= now or self._cold.may(now, seat.backend, self.service)

    def _best(
        self, seats: list[Endpoint], load: float, want: SelectionCriteria, queue: float, rng: Random
    ) -> Endpoint | None:
        best, least = None, 0.0
        for seat in seats:
            if (
                seat.out + 1 <= seat.backend.slots * (1.0 + queue)
                and self._ready(seat, want)
                and self.room(seat, load, want, queue)
            ):
                cost = self.cost(seat, load, want, rng)
                if best is None or cost < least:
                    best, least = seat, cost
        return best

    def _some(self, seats: list[Endpoint], rng: Random) -> list[Endpoint]:
        return rng.sample(seats, SAMPLE) if len(seats) > SAMPLE else seats
