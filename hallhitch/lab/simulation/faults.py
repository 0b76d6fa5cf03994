"""Troubles of a run as values, and how they are drawn: never more lost at once than has to be borne.

A machine is lost from the beginning of its trouble until `catch_up` after its end, as the operators' pages count it. A
slot is a place for a core machine: an exchange puts another machine there.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum


class Kind(Enum):
    """What happens to the machine of a slot, or to all."""

    CUT = "cut"  # ways are cut; what is under way is held back
    FREEZE = "freeze"  # the process stands still
    KILL = "kill"  # the process ends and is started again
    POWER = "power"  # the machine loses power
    WIPE = "wipe"  # the machine comes back with an empty disk
    EXCHANGE_PLANNED = "exchange planned"  # a new machine first, then SIGTERM for the old one
    EXCHANGE_LOST = "exchange lost"  # the old machine is gone for good, then a new one comes
    DISK_SLOW = "slow disk"
    DISK_FULL = "full disk"
    LINK_SLOW = "slow links"
    ALL_KILLED = "all killed"
    ALL_POWER = "all lose power"
    GATEWAY_RESTART = "gateway restarted"  # no loss that counts
    GATEWAY_FREEZE = "gateway stands still"


class Scope(Enum):
    """Who is on the other side of a cut."""

    ALL = "all"
    CORES = "cores"
    SEEDS = "seeds"
    GATEWAYS = "gateways"


class Direction(Enum):
    """Which way is cut, seen from the machine."""

    BOTH = "both"
    TO_IT = "to it"
    FROM_IT = "from it"


@dataclass(frozen=True, slots=True)
class Fault:
    """One trouble: from second `at` on, for `lasts` seconds, at a slot."""

    kind: Kind
    at: float
    lasts: float
    slot: int = 0
    scope: Scope = Scope.ALL
    direction: Direction = Direction.BOTH

    def __str__(self) -> str:
        how = f" {self.scope.value}, {self.direction.value}" if self.kind is Kind.CUT else ""
        return f"{self.at:7.3f} s  {self.kind.value}{how}, slot {self.slot}, for {self.lasts:.3f} s"

    def lost_until(self, catch_up: float) -> float:
        """Until when its machine counts as lost."""
        return self.at + self.lasts + catch_up


@dataclass(frozen=True, slots=True)
class Schedule:
    """A whole run: everything in it follows from this value."""

    seed: int
    losses: int
    founders: int
    gateways: int
    faults: tuple[Fault, ...]
    lasts: float  # s in which operators send orders and faults strike
    delay: float = 2.0  # ms of a way, usually
    catch_up: float = 5.0  # s, as in the settings
    answers_lost: float = 0.1  # of answers to operators
    orders: float = 1.0  # how often operators send, 1 = usual

    def __str__(self) -> str:
        lines = [
            f"seed {self.seed}: losses {self.losses}, {self.founders} founders, {self.gateways} gateways, "
            f"{self.lasts:.0f} s, ways {self.delay} ms, answers lost {self.answers_lost}, orders {self.orders}"
        ]
        return "\n".join([*lines, *(f"  {fault}" for fault in self.faults)])

    def without(self, faults: tuple[Fault, ...]) -> Schedule:
        """The same run with other faults."""
        return replace(self, faults=faults)


SINGLE = (
    *[Kind.CUT] * 5,
    *[Kind.FREEZE] * 3,
    *[Kind.KILL] * 2,
    *[Kind.POWER] * 2,
    *[Kind.WIPE] * 2,
    *[Kind.EXCHANGE_PLANNED] * 2,
    *[Kind.EXCHANGE_LOST] * 2,
    Kind.DISK_SLOW,
    Kind.DISK_FULL,
    Kind.LINK_SLOW,
    *[Kind.GATEWAY_RESTART] * 3,
    Kind.GATEWAY_FREEZE,
)
GATEWAYS = Kind.GATEWAY_RESTART, Kind.GATEWAY_FREEZE
EVERYBODY = Kind.ALL_KILLED, Kind.ALL_POWER
FIRST = 2.5  # s after the founding at which the first fault may strike


def draw(seed: int, *, founders: int | None = None) -> Schedule:
    """A schedule of this seed."""
    rng = random.Random(f"faults {seed}")
    founders = founders or rng.choice((3, 3, 3, 5))
    losses = (founders - 1) // 2
    lasts = rng.uniform(8.0, 16.0)
    base = Schedule(
        seed,
        losses,
        founders,
        rng.choice((2, 3)),
        (),
        lasts,
        delay=rng.choice((1.0, 5.0, 35.0)),
        answers_lost=rng.choice((0.0, 0.1, 0.3)),
        orders=rng.choice((0.3, 0.7, 1.5)),
        catch_up=rng.choice((4.0, 5.0)),
    )
    faults: list[Fault] = []
    for _ in range(rng.choice((4, 8, 15, 30))):
        fault = _one(rng, base)
        if fault.kind in EVERYBODY and any(one.kind in EVERYBODY for one in faults):
            continue
        if bearable([*faults, fault], base):
            faults.append(fault)
    return base.without(tuple(sorted(faults, key=lambda fault: fault.at)))


def _one(rng: random.Random, schedule: Schedule) -> Fault:
    kind = rng.choice(SINGLE) if rng.random() < 0.95 else rng.choice(EVERYBODY)
    lasts = rng.choice((0.3, 1.0, 3.0, 3.0, 6.0, 12.0, 18.0)) * rng.uniform(0.7, 1.3)
    return Fault(
        kind,
        rng.uniform(FIRST, schedule.lasts),
        round(lasts, 3),
        rng.randrange(schedule.gateways if kind in GATEWAYS else schedule.founders),
        rng.choice(tuple(Scope)),
        rng.choice(tuple(Direction)),
    )


def bearable(faults: list[Fault], schedule: Schedule) -> bool:
    """Whether at no moment more machines are lost than have to be borne (all at once, disks kept, stands apart)."""
    single = [fault for fault in faults if fault.kind in SINGLE and fault.kind not in GATEWAYS]
    all_at_once = [fault for fault in faults if fault.kind in EVERYBODY]
    for fault in [*single, *all_at_once]:
        lost = [one for one in single if one.at <= fault.at <= one.lost_until(schedule.catch_up)]
        if len({one.slot for one in lost}) < len(lost):
            return False
        if fault.kind in EVERYBODY:
            if any(one is not fault for one in lost):
                return False
        elif len(lost) > schedule.losses:
            return False
        for other in all_at_once:
            if other is not fault and other.at <= fault.at <= other.lost_until(schedule.catch_up):
                return False
    return True
