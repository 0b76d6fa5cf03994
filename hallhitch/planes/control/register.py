"""The register of the operator's word: who may overrule whom. Owns the decisions of replicas, proposers and of
replicas that lost their memory; must never touch a clock, a socket or a disk.

It is CASPaxos: a ballot (round, proposer) is promised by a majority, the newest value among the promises is changed by
a function, and the result is accepted by a majority. No log, no leader; a read is the function that changes nothing.

**Members** are part of the value. A change goes through a value that names both sets (`previous` and `members`), for
which a majority of each is needed, and a second one that settles it. A proposer asks by the members of the newest
value it has met, and starts over when the promises bring a value with others: prepares are not refused for an old
`members_version`, because a replica that holds a change nobody else took would then block those who are right. Members
change only on top of members of which a majority is known to hold them: otherwise two half-made changes in a row could
leave the first set unaware of the second.

**Memory.** A replica that lost its disk may have promised and accepted what it forgot, and its old votes may still be
counted by a slow proposer. So each replica counts its lives, all replicas keep the counts they were told, votes
carry them, and a vote of an older life than any other vote in the tally knows of is void. The forgetful one reads from
so many others that any majority it once was part of has one of them. Between that one's vote and its answer to the
forgetful replica one came first: either the promise is learned or the old vote is void.

Ballots are never used twice: the proposer's name holds a number drawn at each start of its process.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from hallhitch.messages.system_pb2 import Accept, Accepted, Ballot, Prepare, Promise, Recover, Recovered, Value

Stamp = tuple[int, str]  # a ballot, ordered: round, then proposer
Sets = tuple[frozenset[str], ...]
Config = tuple[int, tuple[str, ...], tuple[str, ...]]
Change = Callable[[Value], Value]  # the same object = nothing to change
NEVER: Stamp = (0, "")


def stamp(ballot: Ballot) -> Stamp:
    """A message's ballot as it is compared."""
    return ballot.round, ballot.proposer


def ballot(at: Stamp) -> Ballot:
    """A ballot as messages carry it."""
    return Ballot(round=at[0], proposer=at[1])


def founded(seeds: Iterable[str]) -> Value:
    """The word before any word: nothing configured, the seeds as members."""
    return Value(version=-1, members=sorted(set(seeds)), members_version=1)


def config(value: Value) -> Config:
    """Who counts under this value, to be compared."""
    return value.members_version, tuple(value.members), tuple(value.previous)


def sets(value: Value) -> Sets:
    """The sets of which a majority each is needed; empty where nothing is known."""
    return tuple(frozenset(one) for one in (value.previous, value.members) if one)


def everybody(value: Value) -> frozenset[str]:
    """All who count under this value."""
    return frozenset(value.members) | frozenset(value.previous)


def reached(needed: Sets, votes: Iterable[str]) -> bool:
    """Whether the votes are a majority of each set."""
    have = frozenset(votes)
    return bool(needed) and all(2 * len(one & have) > len(one) for one in needed)


@dataclass(frozen=True, slots=True)
class Replica:
    """What one replica has promised and accepted; a new one for each change, written before anything is answered."""

    address: str
    promised: Stamp = NEVER
    accepted: Stamp = NEVER
    value: Value = field(default_factory=Value)
    lives: Mapping[str, int] = field(default_factory=dict)
    forgetful: bool = False

    def prepare(self, asked: Prepare) -> tuple[Replica, Promise]:
        """A proposer wants to know the value and to keep older ballots out."""
        if self.forgetful:
            return self, Promise(forgetful=True, lives=self.lives)
        at = stamp(asked.ballot)
        if at <= self.promised:
            return self, Promise(promised=ballot(self.promised), lives=self.lives)
        answer = Promise(ok=True, promised=asked.ballot, accepted=ballot(self.accepted), lives=self.lives)
        if self.accepted == NEVER or stamp(asked.known) != self.accepted:
            answer.value.CopyFrom(self.value)
        return replace(self, promised=at), answer

    def accept(self, asked: Accept) -> tuple[Replica, Accepted]:
        """A proposer with a quorum of promises, or somebody who met its proposal, hands a value on."""
        if self.forgetful:
            return self, Accepted(forgetful=True, lives=self.lives)
        at = stamp(asked.ballot)
        refused = Accepted(promised=ballot(self.promised), lives=self.lives)
        if at < self.promised:
            return self, refused
        agreed = Accepted(ok=True, promised=asked.ballot, lives=self.lives)
        if at == self.accepted:
            return self, agreed
        value = asked.value
        if asked.HasField("base"):
            if stamp(asked.base) != self.accepted:
                return self, refused
            value = copied(value)
            value.content = self.value.content
        return replace(self, promised=at, accepted=at, value=value), agreed

    def recover(self, asked: Recover) -> tuple[Replica, Recovered]:
        """Somebody reads; one that lost its memory says with which life it goes on."""
        if self.forgetful:
            return self, Recovered(lives=self.lives)
        after = self
        if asked.life > self.lives.get(asked.address, 0):
            after = replace(self, lives={**self.lives, asked.address: asked.life})
        answer = Recovered(ok=True, promised=ballot(self.promised), accepted=ballot(self.accepted), lives=after.lives)
        if self.accepted == NEVER or stamp(asked.known) != self.accepted:
            answer.value.CopyFrom(self.value)
        return after, answer


def copied(value: Value) -> Value:
    """A value that may be changed without changing the other."""
    other = Value()
    other.CopyFrom(value)
    return other


class Tally:
    """The votes of one phase; votes of a forgotten life do not count."""

    def __init__(self, needed: Sets) -> None:
        self.needed = needed
        self._yes: dict[str, dict[str, int]] = {}
        self.refusals: set[str] = set()

    def add(self, member: str, yes: bool, lives: Mapping[str, int]) -> None:
        """One answer of a member."""
        if yes:
            self._yes[member] = dict(lives)
        else:
            self.refusals.add(member)

    def votes(self) -> set[str]:
        """Who said yes in a life that nobody here knows to be over."""
        return {member for member, lives in self._yes.items()
                if all(other.get(member, 0) <= lives.get(member, 0) for other in self._yes.values())}

    def reached(self) -> bool:
        """Whether a majority of each set said yes."""
        return reached(self.needed, self.votes())

    def hopeless(self) -> bool:
        """Whether too many refused for that ever to come."""
        return not reached(self.needed, frozenset().union(*self.needed) - (self.refusals - self._yes.keys()))


@dataclass(frozen=True, slots=True)
class Moved:
    """The newest value names other members: start over by them."""

    held: tuple[Stamp, Value]


@dataclass(frozen=True, slots=True)
class Settled:
    """Nothing changes, and a majority holds this value already."""

    value: Value


@dataclass(frozen=True, slots=True)
class Propose:
    """Hand the value on: to these now, to the other members once they have promised: so they get what they lack."""

    to: frozenset[str]


Chosen = Moved | Settled | Propose


class Proposal:
    """One ballot of a proposer, from its prepares to a majority of accepts.

    `known` is what its own replica holds (left out of answers), `asked` the value by whose members it asks, `settled`
    the newest members of which this process knows that a majority took them.
    """

    def __init__(self, at: Stamp, asked: Value, known: tuple[Stamp, Value], change: Change, settled: Config) -> None:
        self.at, self.known, self.change, self.settled = at, known, change, settled
        self.asked = config(asked)
        self.to = everybody(asked)
        self.seen = at[0]  # the highest round met
        self.value: Value | None = None  # as proposed, or as found
        self.changed = False
        self.firm = True  # a plain read may set this to False: a majority that agrees is enough for it
        self.base: tuple[Stamp, Value] = (NEVER, Value())  # what the promises brought
        self._promises = Tally(sets(asked))
        self._found: dict[str, tuple[Stamp, Value]] = {}
        self._accepts: Tally | None = None

    def prepare(self) -> Prepare:
        """What is asked of each of `to`."""
        return Prepare(ballot=ballot(self.at), known=ballot(self.known[0]), members_version=self.asked[0])

    def promise(self, member: str, answer: Promise) -> Chosen | None:
        """One answer; what to do next once there are enough, None before that."""
        self.seen = max(self.seen, answer.promised.round)
        if answer.ok:
            held = stamp(answer.accepted)
            left_out = held == self.known[0] and held != NEVER
            self._found[member] = held, self.known[1] if left_out else answer.value
        if self._accepts is not None:
            if answer.ok:
                return Propose(frozenset((member,)))
            self._accepts.add(member, False, answer.lives)
            return None
        if self.value is not None:
            return None
        self._promises.add(member, answer.ok, answer.lives)
        if not self._promises.reached():
            return None
        voters = self._promises.votes()
        newest = max((self._found[one] for one in voters), key=lambda found: found[0])
        if config(newest[1]) != self.asked:
            self.value = newest[1]
            return Moved(newest)
        self.base = newest
        self.value = self.change(newest[1])
        if config(self.value) != self.asked and self.asked != self.settled:
            self.value = newest[1]
        self.changed = self.value is not newest[1]
        # An order that found nothing to change is written all the same: else what an older ballot left with a few
        # could still come after it, such as a start that was given up after the stop that followed.
        if not self.firm and not self.changed and reached(
                sets(self.value), [one for one in voters if self._found[one][0] == newest[0]]):
            return Settled(self.value)
        self._accepts = Tally(tuple(dict.fromkeys(sets(newest[1]) + sets(self.value))))
        for refused in self._promises.refusals:
            self._accepts.add(refused, False, {})
        return Propose(frozenset(self._found) | (everybody(self.value) - self.to))

    def accept(self, member: str) -> Accept:
        """What is asked of one of them; the content stays away from those who have it."""
        assert self.value is not None
        held = self._found.get(member)
        message = Accept(ballot=ballot(self.at), members_version=self.value.members_version)
        same = self.value.content == self.base[1].content
        if held is not None and same and held[0] == self.base[0] != NEVER:
            light = Value()
            light.CopyFrom(self.value)
            light.content = b""
            message.value.CopyFrom(light)
            message.base.CopyFrom(ballot(self.base[0]))
        else:
            message.value.CopyFrom(self.value)
        return message

    def accepted(self, member: str, answer: Accepted) -> bool:
        """One answer to an accept; True once a majority of each set holds it."""
        self.seen = max(self.seen, answer.promised.round)
        if self._accepts is None:
            return False
        self._accepts.add(member, answer.ok, answer.lives)
        return self._accepts.reached()

    def refused(self, member: str) -> None:
        """One that will not answer."""
        (self._accepts or self._promises).add(member, False, {})

    def hopeless(self) -> bool:
        """Whether this ballot can no longer come to anything."""
        return (self._accepts or self._promises).hopeless()


class Recovery:
    """One replica that lost its memory (or never had one) reads what it may have promised.

    Two passes: the first (`life` 0) tells with which life to go on, the second makes all older votes void.
    """

    def __init__(self, address: str, life: int = 0) -> None:
        self.address, self.life = address, life
        self._answers: dict[str, Recovered] = {}

    def answer(self, member: str, answer: Recovered) -> None:
        """One answer; those of other forgetful replicas do not count."""
        if answer.ok:
            self._answers[member] = answer

    def newest(self) -> Value:
        """The newest value met, whoever holds it."""
        held = max(self._answers.values(), key=lambda one: stamp(one.accepted), default=None)
        return held.value if held is not None else Value()

    def enough(self) -> bool:
        """Whether any majority that this replica once was part of has one that answered."""
        needed = sets(self.newest())
        for one in needed:
            others = one - {self.address}
            majority = len(one) // 2 + 1 - (self.address in one)
            if len(others & self._answers.keys()) < len(others) - majority + 1:
                return False
        return bool(needed)

    def next_life(self) -> int:
        """The life to go on with, after the first pass."""
        return max((one.lives.get(self.address, 0) for one in self._answers.values()), default=0) + 1

    def replica(self) -> Replica:
        """What to go on from, to be written before the first vote."""
        lives: dict[str, int] = {self.address: self.life}
        for one in self._answers.values():
            for member, life in one.lives.items():
                lives[member] = max(lives.get(member, 0), life)
        held = max(self._answers.values(), key=lambda one: stamp(one.accepted))
        promised = max(max(stamp(one.promised), stamp(one.accepted)) for one in self._answers.values())
        return Replica(self.address, promised, stamp(held.accepted), held.value, lives)
