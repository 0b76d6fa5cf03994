"""Who is there: SWIM with Lifeguard's refinements, as a state machine. Times, chance and messages come in.

It owns this process's view of all members and what it tells of itself. It sends nothing: `out` holds what is to be
sent, `changes` what has changed; whoever drives it takes both. Call `tick` at `wake`, or any time. All times are ms of
a clock that never steps.
"""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from msgspec import Struct
from msgspec.structs import replace

from hallhitch.membership.messages import FORM, ROOM, Ack, Datagram, Nack, Ping, PingFor, Sync, size
from hallhitch.membership.model import INCARNATION_MOST, Key, Record, State, kins, mark
from hallhitch.membership.news import News
from hallhitch.membership.suspicion import FAILURE, Suspicion

SUM = 1 << 63
PAGES = 8  # messages of one exchange from its beginner; the next one goes on where it ended
PAGES_NEW = 256  # of one that has just come and knows nobody
VERIFY = 8  # members told as failed that are asked themselves, in a period
FOR_MOST = 256  # pings under way for others
SAME_NAME = 8  # records of one name


class Tuning(Struct, frozen=True):
    """Periods in ms, and bounds."""

    period: float = 500.0  # between probes
    timeout: float = 200.0  # for an answer to one, until others are asked to try
    indirect: int = 3  # others that are asked
    suspicion: float = 4.0  # periods to refute, times log10 of the members, at least
    suspicion_most: float = 6.0  # times that, while nobody else accuses it
    health: int = 8  # most that a process can distrust itself: its periods are stretched by up to that, plus one
    reach: float = 2_000.0  # between tries to reach a failed member or a seed
    sync: float = 2_000.0  # between exchanges with those whose view differs
    forget: float = 3_600_000.0  # until one that failed or left is forgotten
    members: int = 4_096  # records held


@dataclass(slots=True)
class Change:
    """A member's state as it is now; `was` is None for one not known before."""

    record: Record
    was: State | None


@dataclass(slots=True)
class Held:
    """A member as held here."""

    record: Record
    mark: int
    since: float  # of its state
    heard: float = -math.inf  # when it last spoke itself
    suspicion: Suspicion | None = None


@dataclass(slots=True)
class Probe:
    """The probe under way."""

    key: Key
    seq: int
    asks: float  # when others are asked
    ends: float
    asked: int = 0  # others that were
    nacks: int = 0


@dataclass(slots=True)
class Counts:
    """What happened, from the start on."""

    accusations: int = 0  # own
    failures: int = 0  # members that this process gave up
    refutations: int = 0  # accusations of this process that it answered
    conflicts: int = 0
    stalls: int = 0
    dropped: int = 0  # records of members that there was no room for, or from outside the networks
    syncs: int = 0
    changes: int = 0


@dataclass(slots=True)
class _For:
    """A ping under way for another member."""

    address: str
    seq: int
    target: int
    nack: float


class Swim:
    """One process's view."""

    def __init__(
        self,
        me: Record,
        cluster: str,
        tuning: Tuning,
        rng: random.Random,
        seeds: tuple[str, ...] = (),
        allowed: Callable[[str], bool] = lambda address: True,
    ) -> None:
        self.me, self._cluster, self.tuning, self._rng = me, cluster, tuning, rng
        self._seeds, self._allowed = seeds, allowed
        self.members: dict[Key, Held] = {}  # all but this process
        self.out: list[tuple[str, Datagram]] = []
        self.changes: list[Change] = []
        self.conflicts: dict[str, tuple[int, ...]] = {}  # names that several live ones bear, with their instances
        self.counts = Counts()
        self.health = 0  # local: 0 is well
        self.agreed = -math.inf  # when another view was last seen to be the same
        self.differed = -math.inf
        self._news = News()
        self._sum = mark(me)
        self._there: list[str] = []  # cursors of those that are there, this process with them, in order
        self._at: dict[str, Key] = {}
        self._names: dict[str, set[Key]] = {}
        self._round: list[Key] = []
        self._turn = 0  # whose turn it is in it
        self._suspects: set[Key] = set()
        self._verify: list[Key] = []
        self._probe: Probe | None = None
        self._for: dict[int, _For] = {}
        self._seq = 0
        self._cursor = ""
        self._started = math.inf
        self._probe_at = self._reach_at = self._suspect_at = self._for_at = math.inf
        self._synced = -math.inf
        self._due = math.inf
        self._awoke = -math.inf  # when it last did anything
        self._enter(me)

    # What drives it.

    def start(self, now: float) -> None:
        """Begin: seeds are asked at once."""
        self._started = now
        self._probe_at = now + self._rng.random() * self.tuning.period
        self._reach_at = now
        self._news.add(self.me)
        self.tick(now)

    def know(self, records: Iterable[Record], now: float) -> None:
        """Begin with members that were known before; nothing of them is passed on as news."""
        for record in records:
            if record.key != self.me.key:
                self._take(record, now)
                self._news.drop(record.key)

    @property
    def wake(self) -> float:
        """When to call `tick` next."""
        probe = self._probe
        self._due = min(
            self._probe_at if probe is None else probe.ends if probe.asked else probe.asks,
            self._reach_at,
            self._suspect_at,
            self._for_at,
        )
        return self._due

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._awake(now)
        if now >= self._for_at:
            self._nack(now)
        if self._probe is not None:
            self._follow(self._probe, now)
        if self._probe is None and now >= self._probe_at:
            self._begin(now)
        if now >= self._suspect_at:
            self._judge(now)
        if now >= self._reach_at:
            self._reach(now)

    def hear(self, message: Datagram, now: float) -> None:
        """A message has come."""
        self._awake(now)
        sender = message.sender
        if sender.key == self.me.key or not self._allowed(sender.address):
            self.counts.dropped += 1
            return
        self._take(sender, now)
        held = self.members.get(sender.key)
        if held is None:
            return
        if held.record.incarnation <= sender.incarnation:
            held.heard = now
            if sender.state.there:
                self._succeed(sender, now)
        for record in message.news:
            self._take(record, now)
        match message:
            case Ping():
                self._send(sender.address, Ack(*self._head(held), message.seq, self.me.instance))
            case Ack():
                self._acked(message, now)
            case Nack():
                if self._probe is not None and self._probe.seq == message.seq:
                    self._probe.nacks += 1
            case PingFor():
                self._ping_for(message, now)
            case Sync():
                self._synced_with(message, held, now)
        if message.sum == self._sum:
            self.agreed = now
        else:
            self.differed = now
            if not isinstance(message, Sync) and now - self._synced >= self.tuning.sync and held.record.state.there:
                self._sync(sender.address, now, held)

    def leave(self, now: float) -> None:
        """Go, as planned: those that hear of it call nobody failed."""
        self._become(replace(self.me, state=State.LEFT))
        there = [key for key in self._round if self.members[key].record.state.there]
        for key in self._rng.sample(there, min(len(there), 8)):
            held = self.members[key]
            self._send(held.record.address, Ping(*self._head(held), self._next(), held.record.instance))

    def rejoin(self, now: float) -> None:
        """Be there again after `leave`."""
        if self.me.state is State.LEFT:
            self._become(replace(self.me, state=State.ALIVE, incarnation=self.me.incarnation + 1))

    def move(self, address: str, now: float) -> None:
        """Be reached at another address from now on."""
        self._become(replace(self.me, address=address, incarnation=self.me.incarnation + 1))

    @property
    def count(self) -> int:
        """Members that are there, this process among them."""
        return len(self._round) + 1

    @property
    def news(self) -> int:
        """Records that are still passed on."""
        return len(self._news)

    def records(self) -> list[Record]:
        """All members, this process first."""
        return [self.me, *(held.record for held in self.members.values())]

    # Itself.

    def _become(self, record: Record) -> None:
        self._sum = (self._sum - mark(self.me) * self.me.state.there + mark(record) * record.state.there) % SUM
        self.me = record
        self._news.add(record)

    def _about_me(self, record: Record) -> None:
        """What somebody tells of this very process."""
        if record.order <= self.me.order or record.incarnation >= INCARNATION_MOST:
            return
        if self.me.state is State.LEFT:
            return self._become(replace(self.me, incarnation=record.incarnation))
        # Who is accused may really be slow: it accuses others the later.
        self.counts.refutations += 1
        self._worse(1)
        self._become(replace(self.me, incarnation=record.incarnation + 1))

    def _worse(self, by: int) -> None:
        self.health = max(0, min(self.tuning.health, self.health + by))

    def _awake(self, now: float) -> None:
        """Notice that this process stood still: what it has not heard meanwhile is nobody's fault."""
        late, self._awoke = now - max(self._due, self._awoke), now
        if late <= self.tuning.timeout / 4:
            return
        self._worse(1)
        if self._probe is not None:
            self._probe.asks += late
            self._probe.ends += late
        if late > self.tuning.period:
            self.counts.stalls += 1
            self.health = self.tuning.health
            self._probe, self._probe_at = None, now + self.tuning.period
            self._for.clear()
            self._for_at = math.inf
            self._synced = -math.inf  # the view is old: it is compared with that of the next who speaks
            for key in self._suspects:
                if (suspicion := self.members[key].suspicion) is not None:
                    suspicion.began = now
            self._suspect_at = min((s.ends for s in self._suspicions()), default=math.inf)
        else:
            for suspicion in self._suspicions():
                suspicion.began += late
            self._suspect_at += late

    def _suspicions(self) -> list[Suspicion]:
        return [s for key in self._suspects if (s := self.members[key].suspicion) is not None]

    # The view.

    def _take(self, record: Record, now: float) -> None:
        """What is told of a member."""
        if record.key == self.me.key:
            return self._about_me(record)
        if not self._allowed(record.address):
            self.counts.dropped += 1
            return
        held = self.members.get(record.key)
        if held is None:
            return self._new(record, now)
        was, suspicion = held.record, held.suspicion
        told = record.state in (State.SUSPECT, State.FAILED)
        if told and suspicion is not None and record.incarnation == was.incarnation:
            if suspicion.accuse(record.by, FAILURE if record.state is State.FAILED else 1):
                self._news.add(replace(was, by=record.by))
                self._suspect_at = min(self._suspect_at, suspicion.ends)
        elif record.order > was.order:
            if record.state is State.FAILED and was.state.there:
                # It may have been cut off from the teller alone: it is asked itself, and has its time to refute.
                record = replace(record, state=State.SUSPECT)
                self._verify.append(record.key)
            self._set(held, record, now)

    def _new(self, record: Record, now: float) -> None:
        if not self._room(record, now):
            self.counts.dropped += 1
            return
        held = self.members[record.key] = Held(record, 0, now)
        self._names.setdefault(record.name, set()).add(record.key)
        self._set(held, record, now, known=False)

    def _room(self, record: Record, now: float) -> bool:
        """Whether one more can be held; those that failed or left first make room, the oldest of them."""
        same = self._names.get(record.name, set())
        if len(same) < SAME_NAME and len(self.members) < self.tuning.members:
            return True
        among = same if len(same) >= SAME_NAME else self.members
        gone = [key for key in among if not self.members[key].record.state.there]
        if not gone:
            return False
        self._forget(min(gone, key=lambda key: self.members[key].since))
        return True

    def _forget(self, key: Key) -> None:
        del self.members[key]
        self._news.drop(key)
        self._names[key[0]].discard(key)
        if not self._names[key[0]]:
            del self._names[key[0]]

    def _enter(self, record: Record) -> None:
        cursor = f"{record.name} {record.instance:019d}"
        bisect.insort(self._there, cursor)
        self._at[cursor] = record.key

    def _set(self, held: Held, record: Record, now: float, known: bool = True) -> None:
        """Hold this of a member from now on, and pass it on."""
        was = held.record.state if known else None
        counted = known and held.record.state.there
        if counted:
            self._sum = (self._sum - held.mark) % SUM
        held.record, held.mark = record, mark(record)
        if record.state.there:
            self._sum = (self._sum + held.mark) % SUM
        if record.state.there and not counted:
            self._enter(record)
            at = self._rng.randint(0, len(self._round))
            self._round.insert(at, record.key)
            self._turn += at < self._turn
        elif counted and not record.state.there:
            cursor = f"{record.name} {record.instance:019d}"
            self._there.remove(cursor)
            del self._at[cursor]
            at = self._round.index(record.key)
            del self._round[at]
            self._turn -= at < self._turn
        if record.state is State.SUSPECT:
            self._doubt(held, now)
        else:
            held.suspicion = None
            self._suspects.discard(record.key)
        self._news.add(record)
        if was is not record.state:
            held.since = now
            self.changes.append(Change(record, was))
            self.counts.changes += 1
            self._name(record.name)

    def _name(self, name: str) -> None:
        """Notice that a name is borne by several, or no longer."""
        there = [r for key in self._names.get(name, ()) if (r := self.members[key].record).state.there]
        if name == self.me.name and self.me.state.there:
            there.append(self.me)
        if len(set(kins(there).values())) > 1:
            if name not in self.conflicts:
                self.counts.conflicts += 1
            self.conflicts[name] = tuple(sorted(record.instance for record in there))
        else:
            self.conflicts.pop(name, None)

    def _doubt(self, held: Held, now: float) -> None:
        """A suspicion begins, or goes on for a newer incarnation."""
        least = self.tuning.suspicion * max(1.0, math.log10(self.count)) * self.tuning.period
        held.suspicion = Suspicion(now, least, self.tuning.suspicion_most * least, self.count - 2)
        held.suspicion.accuse(held.record.by)
        self._suspects.add(held.record.key)
        self._suspect_at = min(self._suspect_at, held.suspicion.ends)

    def _judge(self, now: float) -> None:
        """Give up those whose time to refute is over, and forget who is gone for long."""
        for key in sorted(self._suspects):
            held = self.members[key]
            suspicion = held.suspicion
            if suspicion is None or suspicion.ends > now:
                continue
            if held.heard > suspicion.began:
                suspicion.began = held.heard  # who speaks is there, whether or not it hears
            if suspicion.ends <= now:
                self.counts.failures += 1
                self._set(held, replace(held.record, state=State.FAILED), now)
        self._suspect_at = min((s.ends for s in self._suspicions()), default=math.inf)

    def _succeed(self, record: Record, now: float) -> None:
        """Another process speaks from an address: whoever had it before is gone."""
        for key in list(self._names.get(record.name, ())):
            held = self.members[key]
            if (
                key != record.key
                and held.record.address == record.address
                and held.record.state.there
                and (self.members[record.key].record.state.there)
            ):
                self._set(held, replace(held.record, state=State.FAILED, by=self.me.instance), now)

    # Probes.

    def _begin(self, now: float) -> None:
        """Probe the next in turn; ask those told as failed how they are."""
        stretch = 1 + self.health
        self._probe_at = now + self.tuning.period * stretch
        for key in self._verify[:VERIFY]:
            held = self.members.get(key)
            if held is not None and held.record.state is State.SUSPECT:
                self._send(held.record.address, Ping(*self._head(held), self._next(), held.record.instance))
        del self._verify[:VERIFY]
        if not self._round:
            return
        # Each is looked at once in every round, the rounds in an order of their own.
        if self._turn >= len(self._round):
            self._rng.shuffle(self._round)
            self._turn = 0
        key = self._round[self._turn]
        self._turn += 1
        held = self.members[key]
        seq = self._next()
        self._probe = Probe(key, seq, now + self.tuning.timeout * stretch, now + self.tuning.period * stretch)
        self._send(held.record.address, Ping(*self._head(held), seq, held.record.instance))

    def _follow(self, probe: Probe, now: float) -> None:
        held = self.members.get(probe.key)
        if held is None or not held.record.state.there:
            self._probe = None
        elif now >= probe.ends:
            self._probe, self._probe_at = None, now
            # Helpers that say nothing at all mean that it is this process that hears nothing.
            self._worse(max(0, probe.asked - probe.nacks) if probe.asked else 1)
            self._accuse(held, now)
        elif now >= probe.asks and not probe.asked:
            others = [key for key in self._round if key != probe.key and self.members[key].record.state is State.ALIVE]
            chosen = self._rng.sample(others, min(len(others), self.tuning.indirect))
            probe.asked = len(chosen)
            if not chosen:
                probe.asks = probe.ends
            for key in chosen:
                helper = self.members[key]
                self._send(helper.record.address, PingFor(*self._head(helper), probe.seq, held.record))
            # One datagram may be lost: it is asked itself once more beside them.
            self._send(held.record.address, Ping(*self._head(held), probe.seq, held.record.instance))

    def _accuse(self, held: Held, now: float) -> None:
        """It did not answer, neither here nor elsewhere."""
        mine = replace(held.record, state=State.SUSPECT, by=self.me.instance)
        if held.record.state is State.ALIVE:
            self.counts.accusations += 1
            self._set(held, mine, now)
        elif held.suspicion is not None and held.suspicion.accuse(self.me.instance):
            self._news.add(mine)
            self._suspect_at = min(self._suspect_at, held.suspicion.ends)

    def _acked(self, ack: Ack, now: float) -> None:
        probe, relay = self._probe, self._for.get(ack.seq)
        if probe is not None and probe.seq == ack.seq and probe.key[1] == ack.target:
            self._probe = None
            self._worse(-1)
            held = self.members.get(probe.key)
            if held is not None:
                held.heard = now
        elif relay is not None and relay.target == ack.target:
            del self._for[ack.seq]
            self._send(relay.address, Ack(*self._head(None), relay.seq, relay.target))

    def _ping_for(self, ask: PingFor, now: float) -> None:
        if len(self._for) >= FOR_MOST or not self._allowed(ask.target.address):
            self.counts.dropped += 1
            return
        seq = self._next()
        self._for[seq] = _For(ask.sender.address, ask.seq, ask.target.instance, now + 0.8 * self.tuning.timeout)
        self._for_at = min(self._for_at, now + 0.8 * self.tuning.timeout)
        self._send(ask.target.address, Ping(*self._head(self.members.get(ask.target.key)), seq, ask.target.instance))

    def _nack(self, now: float) -> None:
        for seq, relay in list(self._for.items()):
            if relay.nack <= now:
                del self._for[seq]
                self._send(relay.address, Nack(*self._head(None), relay.seq))
        self._for_at = min((relay.nack for relay in self._for.values()), default=math.inf)

    # Exchanges.

    def _reach(self, now: float) -> None:
        """Try one that failed, or a seed where nobody lives: after a split somebody must speak first."""
        self._reach_at = now + self.tuning.reach * (0.75 + 0.5 * self._rng.random())
        for key in [
            key
            for key, held in self.members.items()
            if not held.record.state.there and now - held.since > self.tuning.forget
        ]:
            self._forget(key)
        lived = {self.members[key].record.address for key in self._round} | {self.me.address}
        gone = [
            held
            for held in self.members.values()
            if held.record.state is State.FAILED and held.record.address not in lived
        ]
        seeds = [seed for seed in self._seeds if seed not in lived]
        if not self._round:  # alone: all seeds, one of them may answer
            for seed in seeds:
                self._sync(seed, now, None)
        elif seeds and (not gone or self._rng.random() < 0.2):
            self._sync(self._rng.choice(seeds), now, None)
        if gone:
            held = self._rng.choice(gone)
            self._sync(held.record.address, now, held)

    def _sync(self, address: str, now: float, to: Held | None) -> None:
        """Begin an exchange where the last one ended."""
        self._synced = now
        self.counts.syncs += 1
        self._page(address, to, self._cursor, "", 0, [])

    def _page(self, address: str, to: Held | None, after: str, until: str, turn: int, first: list[Record]) -> None:
        """Send the part of the view past a cursor, as much as fits; corrections go first."""
        room, chosen, names = ROOM, list[Record](), set[Key]()
        if to is not None and to.record.state is not State.ALIVE:
            first = [to.record, *first]
        for record in first:
            if record.key not in names and (room := room - size(record)) >= 0:
                chosen.append(record)
                names.add(record.key)
        ended = until
        for at in range(bisect.bisect_right(self._there, after), len(self._there)):
            cursor = self._there[at]
            if until and cursor > until:
                break
            key = self._at[cursor]
            record = self.me if key == self.me.key else self.members[key].record
            if key in names or key == self.me.key:
                continue  # the sender's own goes with every message
            if (room := room - size(record)) < 0:
                ended = max(after, self._there[at - 1]) if at else after
                break
            chosen.append(record)
        self._send(address, Sync(FORM, self._cluster, self.me, self._sum, tuple(chosen), after, ended, turn))

    def _synced_with(self, page: Sync, held: Held, now: float) -> None:
        """The other's part has been taken: answer with one's own, or go on with the next."""
        address = page.sender.address
        if page.turn % 2 == 0:
            newer = [
                mine for record in page.news if (mine := self._mine(record)) is not None and mine.order > record.order
            ]
            self._page(address, held, page.after, page.until, page.turn + 1, newer)
            return
        self._cursor = page.until
        most = PAGES_NEW if now - self._started < 10 * self.tuning.period else PAGES
        if page.until and page.turn < 2 * most and page.sum != self._sum:
            self._page(address, held, page.until, "", page.turn + 1, [])

    def _mine(self, record: Record) -> Record | None:
        if record.key == self.me.key:
            return self.me
        held = self.members.get(record.key)
        return held.record if held is not None else None

    # Sending.

    def _next(self) -> int:
        self._seq += 1
        return self._seq

    def _head(self, to: Held | None) -> tuple[int, str, Record, int, tuple[Record, ...]]:
        """What every message begins with; one that is accused hears of it first, so that it can refute."""
        news = self._news.take(self.count)
        if to is not None and to.record.state is not State.ALIVE:
            news = [to.record, *(record for record in news if record.key != to.record.key)]
        return FORM, self._cluster, self.me, self._sum, tuple(news)

    def _send(self, address: str, message: Datagram) -> None:
        self.out.append((address, message))
