"""Model of a few state machines, the messages in flight between them, and the events that may happen next.

Random choices always return the first candidate, so that worlds differ only by the order of events.
"""

from __future__ import annotations

import copy
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from hallhitch.lab.fleet.cluster import member_address
from hallhitch.membership.local_health import LocalHealth
from hallhitch.membership.member_table import Member, MemberTable
from hallhitch.membership.member_view import MemberView
from hallhitch.membership.outbox import Outbox, OutgoingDatagram
from hallhitch.membership.ping_relay import PingRelay
from hallhitch.membership.probe_ring import ProbeRing
from hallhitch.membership.prober import Probe, Prober
from hallhitch.membership.protocol_settings import ProtocolCounters, ProtocolSettings
from hallhitch.membership.records import MemberKey, MemberRecord, MemberState
from hallhitch.membership.suspicion import Suspicion, SuspicionTable
from hallhitch.membership.swim import Swim
from hallhitch.membership.update_queue import UpdateQueue
from hallhitch.membership.view_exchange import ViewExchange

T = TypeVar("T")
QUIESCENCE_MS = 60_000.0  # long enough for all probes, suspicions and exchanges in progress to end
DELIVERABLE_MESSAGES = 3  # the oldest messages in flight, any of which may arrive next

MUTABLE_TYPES = (
    Swim,
    MemberView,
    MemberTable,
    Member,
    ProbeRing,
    SuspicionTable,
    Suspicion,
    UpdateQueue,
    LocalHealth,
    ProtocolCounters,
    Outbox,
    Prober,
    Probe,
    PingRelay,
    ViewExchange,
)


class DeterministicRandom(random.Random):
    """Deterministic generator: choices and samples take the first candidates, and shuffling keeps the order."""

    def random(self) -> float:
        return 0.5

    def randint(self, a: int, b: int) -> int:
        return b

    def shuffle(self, x: object) -> None:
        """Keep the order."""

    def sample(self, population: list[MemberKey], k: int) -> list[MemberKey]:  # type: ignore[override]
        return list(population)[:k]

    def choice(self, seq: list[object]) -> object:  # type: ignore[override]
        return seq[0]


def clone(value: T, copies: dict[int, object]) -> T:
    """Copy a state machine with its mutable parts; records and messages are immutable, so they are shared."""
    if id(value) in copies:
        return copies[id(value)]  # type: ignore[return-value]
    duplicate: object
    match value:
        case dict():
            duplicate = {key: clone(item, copies) for key, item in value.items()}
        case list():
            duplicate = [clone(item, copies) for item in value]
        case set():
            duplicate = set(value)
        case _ if isinstance(value, MUTABLE_TYPES):
            duplicate = copies[id(value)] = copy.copy(value)
            names = getattr(value, "__slots__", None) or vars(value)
            for name in names:
                setattr(duplicate, name, clone(getattr(value, name), copies))
            return duplicate
        case itertools.count():
            duplicate = copy.copy(value)
        case _:
            return value
    copies[id(value)] = duplicate
    return duplicate  # type: ignore[return-value]


@dataclass(frozen=True)
class WorldSize:
    """Number of members, and the number of events up to which all interleavings are explored."""

    members: int
    depth: int


class SmallWorld:
    """A few members that know each other. One message may be lost, and the last member may crash once."""

    def __init__(self, member_count: int) -> None:
        self.member_count = member_count
        self.now = 1_000.0
        self.losses_left = self.crashes_left = 1
        self.members: dict[int, Swim | None] = {}
        self.in_flight: list[OutgoingDatagram] = []
        self.greatest: dict[tuple[int, MemberKey], tuple[int, int]] = {}  # greatest precedence by (holder, member)
        self.starts = 0
        for number in range(member_count):
            self.start(number)
        records = [member.local for member in self.running()]
        for member in self.running():
            member.restore(records, self.now)

    def running(self) -> list[Swim]:
        return [member for member in self.members.values() if member is not None]

    def member(self, number: int) -> Swim:
        member = self.members[number]
        assert member is not None, f"m{number} has crashed"
        return member

    def start(self, number: int) -> None:
        self.starts += 1
        local = MemberRecord(
            f"m{number}", 100 * number + self.starts, 0, MemberState.ALIVE, member_address(number), self.starts
        )
        seeds = tuple(member_address(n) for n in range(self.member_count))
        member = self.members[number] = Swim(local, "c", ProtocolSettings(), DeterministicRandom(), seeds)
        member.start(self.now)
        self.finish_step(number)

    def finish_step(self, number: int) -> None:
        """Collect the messages of a member, and check that no state was reverted and that its updates are bounded."""
        member = self.member(number)
        self.in_flight += member.take_outgoing()
        member.take_changes()
        for key, known_member in member.members.items():
            before, precedence = self.greatest.get((number, key)), known_member.record.precedence
            if before is not None and precedence < before:
                raise AssertionError(f"m{number} reverted {key} from {before} to {precedence}")
            self.greatest[number, key] = precedence
        assert member.pending_updates <= len(member.members) + 1, "number of queued updates is not bounded"

    def deliver(self, index: int) -> None:
        to, message = self.in_flight.pop(index)
        number = int(to.rpartition(":")[2]) - 1
        member = self.members[number]
        if member is not None:
            member.handle_message(message, self.now)
            self.finish_step(number)

    def tick(self) -> None:
        """Advance time to the earliest wake-up, and call that member's `tick`."""
        wake_at, number = min((m.next_wake(), number) for number, m in self.members.items() if m is not None)
        self.now = max(self.now, wake_at)
        self.member(number).tick(self.now)
        self.finish_step(number)

    def lose(self) -> None:
        self.losses_left -= 1
        self.in_flight.pop(0)

    def crash(self) -> None:
        self.crashes_left -= 1
        crashed = self.member_count - 1
        self.members[crashed] = None
        self.greatest = {pair: precedence for pair, precedence in self.greatest.items() if pair[0] != crashed}

    def next_events(self) -> Iterator[Callable[[SmallWorld], None]]:
        for index in range(min(DELIVERABLE_MESSAGES, len(self.in_flight))):
            yield lambda world, index=index: world.deliver(index)  # type: ignore[misc]
        if not self.in_flight:
            yield SmallWorld.tick
        if self.losses_left and self.in_flight:
            yield SmallWorld.lose
        if self.crashes_left:
            yield SmallWorld.crash
        elif self.members[self.member_count - 1] is None:
            yield lambda world: world.start(world.member_count - 1)

    def clone(self) -> SmallWorld:
        """Return an independent copy of this world."""
        duplicate = copy.copy(self)
        duplicate.in_flight, duplicate.greatest = list(self.in_flight), dict(self.greatest)
        duplicate.members = {
            number: None if member is None else clone(member, {}) for number, member in self.members.items()
        }
        return duplicate

    def fingerprint(self) -> tuple[object, ...]:
        """Return a value that is equal for equivalent worlds."""
        return (
            round(self.now),
            self.losses_left,
            self.crashes_left,
            tuple(self.in_flight),
            tuple((number, None if m is None else _fingerprint(m)) for number, m in self.members.items()),
        )

    def run_until_quiet(self) -> None:
        """Deliver all messages until nothing is in progress, and check that all running members have the same view."""
        ends_at = self.now + QUIESCENCE_MS
        while self.now < ends_at:
            while self.in_flight:
                self.deliver(0)
            self.tick()
        running = {member.local.key: member.local.precedence for member in self.running()}
        for member in self.running():
            present = {r.key: r.precedence for r in member.records() if r.state.is_present}
            assert present == running, f"{member.local.name} sees {present}, but the running members are {running}"
            assert member.pending_updates == 0, "updates are still queued after the quiescence period"


def _fingerprint(member: Swim) -> tuple[object, ...]:
    known = tuple(sorted((key, other.record.precedence) for key, other in member.members.items()))
    return member.local, known, member.pending_updates, member.health_score
