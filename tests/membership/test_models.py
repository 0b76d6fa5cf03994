"""The state machine of three, all interleavings to a stated depth; beyond that, hypothesis draws what happens.

Each property is seen to fail on a spoilt copy of the machine.
"""

from __future__ import annotations

import copy
import random
import sys
import unittest
from collections.abc import Callable, Iterator
from unittest import mock

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule, run_state_machine_as_test
from msgspec.structs import replace

from hallhitch.lab.fleet.cluster import Cluster, address
from hallhitch.lab.fleet.timeline import Trouble
from hallhitch.membership import news
from hallhitch.membership.messages import Datagram
from hallhitch.membership.model import Key, Record, State
from hallhitch.membership.swim import Swim, Tuning

MEMBERS, DEPTH = 3, 7  # how far all interleavings are walked
MORE, LESS = 4, 5  # and for one more member
PROBE = 97  # each so many-th world is also run to its quiet end
QUIET = 60_000.0  # ms until everything that was under way has ended


class First(random.Random):
    """Chance that always takes the first: what varies here is the order of events."""

    def random(self) -> float:
        return 0.5

    def randint(self, a: int, b: int) -> int:
        return b

    def shuffle(self, x: object) -> None:
        """Leave it."""

    def sample(self, population: list[Key], k: int) -> list[Key]:  # type: ignore[override]
        return list(population)[:k]

    def choice(self, seq: list[object]) -> object:  # type: ignore[override]
        return seq[0]


class Small:
    """A few members, what is on its way between them, and what may happen next."""

    def __init__(self, kind: type[Swim]) -> None:
        self.kind, self.now, self.losses, self.crashes = kind, 1_000.0, 1, 1
        self.members: dict[int, Swim | None] = {}
        self.pending: list[tuple[str, Datagram]] = []
        self.seen: dict[tuple[int, Key], tuple[int, int]] = {}  # the greatest order that each held of each
        self.starts = 0
        for number in range(MEMBERS):
            self.start(number)
        records = [m.me for m in self.members.values() if m is not None]
        for m in self.members.values():
            assert m is not None
            m.know(records, self.now)

    def start(self, number: int) -> None:
        self.starts += 1
        me = Record(f"m{number}", 100 * number + self.starts, 0, State.ALIVE, address(number), self.starts)
        made = self.kind(me, "c", Tuning(), First(), tuple(address(n) for n in range(MEMBERS)))
        self.members[number] = made
        made.start(self.now)
        self.settle(number)

    def settle(self, number: int) -> None:
        member = self.members[number]
        assert member is not None
        out, member.out = member.out, []
        self.pending += out
        member.changes = []
        for key, held in member.members.items():
            before, order = self.seen.get((number, key)), held.record.order
            if before is not None and order < before:
                raise AssertionError(f"m{number} took back {key}: {before} to {order}")
            self.seen[number, key] = order
        assert member.news <= len(member.members) + 1, "news without bound"

    def deliver(self, at: int) -> None:
        to, message = self.pending.pop(at)
        number = int(to.rpartition(":")[2]) - 1
        member = self.members[number]
        if member is not None:
            member.hear(message, self.now)
            self.settle(number)

    def tick(self) -> None:
        living = [(m.wake, n) for n, m in self.members.items() if m is not None]
        wake, number = min(living)
        self.now = max(self.now, wake)
        member = self.members[number]
        assert member is not None
        member.tick(self.now)
        self.settle(number)

    def lose(self) -> None:
        self.losses -= 1
        self.pending.pop(0)

    def crash(self) -> None:
        self.crashes -= 1
        self.members[MEMBERS - 1] = None
        self.seen = {seen: order for seen, order in self.seen.items() if seen[0] != MEMBERS - 1}

    def next(self) -> Iterator[Callable[[Small], None]]:
        for at in range(min(3, len(self.pending))):
            yield lambda w, at=at: w.deliver(at)  # type: ignore[misc]
        if not self.pending:
            yield Small.tick
        if self.losses and self.pending:
            yield Small.lose
        if self.crashes:
            yield Small.crash
        elif self.members[MEMBERS - 1] is None:
            yield lambda w: w.start(MEMBERS - 1)

    def clone(self) -> Small:
        """The same world, apart. Records and messages are never changed, so they are shared."""
        made = copy.copy(self)
        made.pending, made.seen = list(self.pending), dict(self.seen)
        made.members = {number: None if m is None else cloned(m) for number, m in self.members.items()}
        return made

    def shape(self) -> tuple[object, ...]:
        """What makes two worlds the same, but for chance."""
        return (
            round(self.now),
            self.losses,
            self.crashes,
            tuple(self.pending),
            tuple(
                (
                    n,
                    None
                    if m is None
                    else (m.me, tuple(sorted((k, h.record.order) for k, h in m.members.items())), m.news, m.health),
                )
                for n, m in self.members.items()
            ),
        )

    def quiet(self) -> None:
        """Lose nothing more, let all end, and see that they agree."""
        ends = self.now + QUIET
        while self.now < ends:
            while self.pending:
                self.deliver(0)
            self.tick()
        living = {m.me.key: m.me.order for m in self.members.values() if m is not None}
        for m in self.members.values():
            if m is None:
                continue
            there = {r.key: r.order for r in m.records() if r.state.there}
            assert there == living, f"{m.me.name} holds {there}, there are {living}"
            assert m.news == 0, "news that are never over"


def cloned(member: Swim) -> Swim:
    """A state machine like this one."""
    made = copy.copy(member)
    for name, value in vars(member).items():
        if isinstance(value, dict | list | set):
            setattr(made, name, copy.copy(value))
    made._news, made.counts, made._probe = copy.copy(member._news), copy.copy(member.counts), copy.copy(member._probe)
    made._news._told, made._news._heap = dict(member._news._told), list(member._news._heap)
    made._news._number = copy.copy(member._news._number)
    made._names = {name: set(keys) for name, keys in member._names.items()}
    made._for = {seq: copy.copy(relay) for seq, relay in member._for.items()}
    for key, held in member.members.items():
        one = made.members[key] = copy.copy(held)
        if held.suspicion is not None:
            one.suspicion = copy.copy(held.suspicion)
            one.suspicion.accusers = set(held.suspicion.accusers)
    return made


def walk(kind: type[Swim] = Swim) -> int:
    """All interleavings to the depth, each world once; how many worlds that were."""
    seen: set[tuple[object, ...]] = set()
    todo = [(Small(kind), 0)]
    while todo:
        world, depth = todo.pop()
        shape = world.shape()
        if shape in seen:
            continue
        seen.add(shape)
        if len(seen) % PROBE == 1:
            world.clone().quiet()
        if depth < DEPTH:
            for act in world.next():
                after = world.clone()
                act(after)
                todo.append((after, depth + 1))
    return len(seen)


class TakesAnything(Swim):
    """Believes whatever comes last."""

    def _take(self, record: Record, now: float) -> None:
        held = self.members.get(record.key)
        if held is not None and record.key != self.me.key and record.order != held.record.order:
            self._set(held, record, now)
        else:
            super()._take(record, now)


class NeverRefutes(Swim):
    """Does not answer accusations."""

    def _about_me(self, record: Record) -> None:
        """Leave it."""


class NeverCompares(Swim):
    """Takes every view for its own, and passes nothing on."""

    def _sync(self, address: str, now: float, to: object) -> None:
        """Leave it."""


class Exhaustive(unittest.TestCase):
    """Three members, one loss, one crash and return."""

    def test_all_interleavings_keep_the_properties(self) -> None:
        """Guards against an order of events that brings a dead instance back, keeps a refuted accusation, or leaves two
        views apart."""
        self.assertGreater(walk(), 5_000)
        with mock.patch.multiple(sys.modules[__name__], MEMBERS=MORE, DEPTH=LESS):
            self.assertGreater(walk(), 1_000)

    def test_the_spoilt_ones_are_found(self) -> None:
        """Guards against a check that finds nothing."""
        self.accused(Swim).quiet()
        self.apart(Swim).quiet()
        for kind in (TakesAnything, NeverRefutes):
            with self.subTest(kind=kind.__name__), self.assertRaises(AssertionError):
                self.accused(kind).quiet()
        with self.assertRaises(AssertionError):
            self.apart(NeverCompares).quiet()
        with mock.patch.object(news, "TELL", 1e9), self.assertRaises(AssertionError):
            Small(Swim).quiet()

    def accused(self, kind: type[Swim]) -> Small:
        """One is accused by mistake."""
        world = Small(kind)
        member = world.members[0]
        assert member is not None
        member._take(Record("m1", 102, 0, State.SUSPECT, address(1), 2, by=7), world.now)
        world.settle(0)
        return world

    def apart(self, kind: type[Swim]) -> Small:
        """All have given all up, as in a split."""
        world = Small(kind)
        for number, member in world.members.items():
            assert member is not None
            for held in member.members.values():
                member._set(held, replace(held.record, state=State.FAILED, by=7), world.now)
            world.settle(number)
        world.pending.clear()
        return world


class Members(RuleBasedStateMachine):
    """Anything may happen to a few members; once it is over they come to one view."""

    @initialize(seed=st.integers(0, 50))
    def begin(self, seed: int) -> None:
        self.cluster = Cluster(4, seed)
        self.cluster.settled()
        self.held: dict[tuple[int, int, Key], tuple[int, int]] = {}

    def go(self, ms: float) -> None:
        self.cluster.time.run(self.cluster.time.now + ms)
        for peer in self.cluster.there():
            for key, held in peer.swim.members.items():
                seen = peer.number, peer.swim.me.instance, key
                assert held.record.order >= self.held.get(seen, (0, 0)), "a state was taken back"
                self.held[seen] = held.record.order
            assert peer.swim.news <= len(peer.swim.members) + 1

    @rule(ms=st.sampled_from([10.0, 400.0, 3_000.0, 20_000.0]))
    def wait(self, ms: float) -> None:
        self.go(ms)

    @rule(number=st.integers(0, 3))
    def crash(self, number: int) -> None:
        if len(self.cluster.there()) > 2:
            self.cluster.kill(number)

    @rule(number=st.integers(0, 3))
    def start(self, number: int) -> None:
        if not self.cluster.peers[number].alive:
            self.cluster.start(number)

    @rule(number=st.integers(0, 3), seconds=st.sampled_from([0.3, 3.0, 12.0]))
    def stop(self, number: int, seconds: float) -> None:
        peer = self.cluster.peers[number]
        if peer.alive and peer.waiting is None:
            self.cluster.begin(Trouble("stop", 0.0, seconds, (f"g{number}",)), seconds * 1000)

    @rule(number=st.integers(0, 3))
    def leave(self, number: int) -> None:
        peer = self.cluster.peers[number]
        if peer.alive and peer.waiting is None:
            if peer.swim.me.state is State.LEFT:
                peer.swim.rejoin(self.cluster.time.now)
            else:
                peer.swim.leave(self.cluster.time.now)

    @rule(
        kind=st.sampled_from(["split", "drop", "duplicate", "cut", "delay", "stall"]),
        seconds=st.sampled_from([1.0, 8.0, 25.0]),
    )
    def trouble(self, kind: str, seconds: float) -> None:
        told = {
            "split": {"parts": (0.5, 0.5)},
            "drop": {"share": 0.4},
            "duplicate": {"share": 0.5},
            "cut": {"whom": ("g1",), "one_way": True},
            "delay": {"delay_ms": (0.0, 300.0)},
            "stall": {"whom": ("g2",)},
        }[kind]
        self.cluster.begin(Trouble(kind, 0.0, seconds, **told), seconds * 1000)  # type: ignore[arg-type]

    @precondition(lambda self: hasattr(self, "cluster"))
    @rule()
    def heal(self) -> None:
        """All is over: one view, and then no change any more."""
        self.go(30_000.0)  # no trouble lasts longer
        assert self.cluster.until(self.cluster.agreed, 90_000.0) < 90_000.0, "no one view"
        before = len(self.cluster.noted)
        self.go(5_000.0)
        assert len(self.cluster.noted) == before, "a quiet cluster changes its mind"


class Drawn(unittest.TestCase):
    """Hypothesis over the whole cluster."""

    def test_whatever_happens_they_come_to_one_view(self) -> None:
        """Guards against rows of faults that nobody thought of."""
        run_state_machine_as_test(
            Members,
            settings=settings(
                max_examples=10,
                stateful_step_count=10,
                deadline=None,
                derandomize=True,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
