"""The register of the cluster configuration: who may overrule whom. Owns the decisions of replicas, proposers and of
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
counted by a slow proposer. So each replica counts its incarnations, all replicas keep the counts they were told, votes
carry them, and a vote of an older incarnation than any other vote in the tally knows of is void. The recovering one
reads from
so many others that any majority it once was part of has one of them. Between that one's vote and its answer to the
recovering replica one came first: either the promise is learned or the old vote is void.

Ballots are never used twice: the proposer's name holds a number drawn at each start of its process.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from hallhitch.messages.system_pb2 import (
    Accept,
    Accepted,
    AcceptorQuery,
    AcceptorReport,
    BallotMessage,
    ClusterState,
    Prepare,
    Promise,
)
from hallhitch.planes.control import config_digests

StateTransition = Callable[[ClusterState], ClusterState]  # the same object = nothing to change


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """The number of one attempt to agree; never used twice. Ordered by round, then by proposer."""

    round: int = 0
    proposer: str = ""

    @staticmethod
    def of(message: BallotMessage) -> Ballot:
        """A message's ballot, to be compared."""
        return Ballot(message.round, message.proposer)

    def message(self) -> BallotMessage:
        """This ballot as messages carry it."""
        return BallotMessage(round=self.round, proposer=self.proposer)


INITIAL_BALLOT = Ballot()  # lower than any ballot of a proposer
OTHER_INCARNATIONS = 16  # kept of machines that do not count, such as candidates: more come only one after the other
QuorumSets = tuple[frozenset[str], ...]


@dataclass(frozen=True, slots=True)
class Membership:
    """Who counts under a state. While `previous` is not empty a change is under way: a majority of both is needed.

    `lease_previous` are former members whose votes on leases may still be counted: a lease needs a majority of them
    as well. The register itself does not ask them.
    """

    version: int = 0
    members: tuple[str, ...] = ()
    previous_members: tuple[str, ...] = ()
    previous_lease_members: tuple[str, ...] = ()

    @staticmethod
    def of(state: ClusterState) -> Membership:
        """The membership that a state names."""
        return Membership(
            state.membership_version,
            tuple(state.members),
            tuple(state.previous_members),
            tuple(state.previous_lease_members),
        )

    @property
    def quorum_sets(self) -> QuorumSets:
        """The sets of which a majority each is needed; empty where nothing is known."""
        return tuple(frozenset(one) for one in (self.previous_members, self.members) if one)

    @property
    def all_members(self) -> frozenset[str]:
        """All who count for the register."""
        return frozenset(self.members) | frozenset(self.previous_members)

    def quorum_reached(self, votes: Iterable[str]) -> bool:
        """Whether the votes are a majority of each set."""
        return majority_of_each(self.quorum_sets, votes)


def initial_state(seeds: Iterable[str]) -> ClusterState:
    """The state before any order: nothing configured, the seeds as members."""
    return ClusterState(config_version=-1, members=sorted(set(seeds)), membership_version=1)


def majority_of_each(needed: QuorumSets, votes: Iterable[str]) -> bool:
    """Whether the votes are a majority of each set; False where no set is known."""
    have = frozenset(votes)
    return bool(needed) and all(2 * len(one & have) > len(one) for one in needed)


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """What one replica has promised and accepted; a new one for each change, written before anything is answered."""

    address: str
    promised: Ballot = INITIAL_BALLOT
    accepted: Ballot = INITIAL_BALLOT
    state: ClusterState = field(default_factory=ClusterState)
    incarnations: Mapping[str, int] = field(default_factory=dict)
    is_recovering: bool = False

    def prepare(self, asked: Prepare) -> tuple[AcceptorState, Promise]:
        """A proposer wants to know the value and to keep older ballots out."""
        if self.is_recovering:
            return self, Promise(is_recovering=True, incarnations=self.incarnations)
        at = Ballot.of(asked.ballot)
        if at <= self.promised:
            held = self.accepted.message()
            return self, Promise(promised=self.promised.message(), accepted=held, incarnations=self.incarnations)
        answer = Promise(
            ok=True, promised=asked.ballot, accepted=self.accepted.message(), incarnations=self.incarnations
        )
        if self.accepted == INITIAL_BALLOT or Ballot.of(asked.known_ballot) != self.accepted:
            answer.state.CopyFrom(self.state)
        return replace(self, promised=at), answer

    def accept(self, asked: Accept) -> tuple[AcceptorState, Accepted]:
        """A proposer with a quorum of promises, or somebody who met its proposal, hands a value on."""
        if self.is_recovering:
            return self, Accepted(is_recovering=True, incarnations=self.incarnations)
        at = Ballot.of(asked.ballot)
        refused = Accepted(promised=self.promised.message(), incarnations=self.incarnations)
        if at < self.promised:
            return self, refused
        agreed = Accepted(ok=True, promised=asked.ballot, incarnations=self.incarnations)
        if at == self.accepted:
            return self, agreed
        value = asked.state
        if asked.HasField("base_ballot"):
            if Ballot.of(asked.base_ballot) != self.accepted:
                return self, refused
            value = apply_delta(value, self.state)
        return replace(self, promised=at, accepted=at, state=value), agreed

    def recover(self, asked: AcceptorQuery) -> tuple[AcceptorState, AcceptorReport]:
        """Somebody reads; one that lost its memory says with which incarnation it goes on."""
        if self.is_recovering:
            return self, AcceptorReport(incarnations=self.incarnations)
        after = self
        if asked.incarnation > self.incarnations.get(asked.address, 0):
            after = replace(self, incarnations=self._with_incarnation(asked.address, asked.incarnation))
        answer = AcceptorReport(
            ok=True, promised=self.promised.message(), accepted=self.accepted.message(), incarnations=after.incarnations
        )
        if self.accepted == INITIAL_BALLOT or Ballot.of(asked.known_ballot) != self.accepted:
            answer.state.CopyFrom(self.state)
        return after, answer

    def _with_incarnation(self, address: str, incarnation: int) -> dict[str, int]:
        """One more that is known; of those that do not count only the latest `OTHER_INCARNATIONS` stay."""
        known = {one: count for one, count in self.incarnations.items() if one != address}
        counting = Membership.of(self.state).all_members | {self.address}
        others = [one for one in known if one not in counting]
        for one in others[: max(0, len(others) + 1 - OTHER_INCARNATIONS)]:
            del known[one]
        return {**known, address: incarnation}


def founding_conflict(held: ClusterState, at: Ballot, other: ClusterState, other_at: Ballot) -> bool:
    """Whether two states that no ballot ever changed were founded with different members."""
    founded_twice = at == other_at == INITIAL_BALLOT and held.members and other.members
    return bool(founded_twice) and Membership.of(held) != Membership.of(other)


def copy_state(value: ClusterState) -> ClusterState:
    """A value that may be changed without changing the other."""
    other = ClusterState()
    other.CopyFrom(value)
    return other


def apply_delta(light: ClusterState, base: ClusterState) -> ClusterState:
    """The value that a light one stands for, beside the one it is based on."""
    value = copy_state(light)
    value.config = light.config or base.config
    recorded = config_digests.extended(base.config_digests, light.config_digests)
    del value.config_digests[:]
    value.config_digests.extend(recorded)
    return value


def make_delta(value: ClusterState, base: ClusterState) -> ClusterState | None:
    """The value without what who holds the base has already; None where `completed` would not bring it back."""
    newer = config_digests.missing(base.config_digests, value.config_digests)
    if newer is None or (base.config and not value.config):
        return None
    light = copy_state(value)
    if value.config == base.config:
        light.config = b""
    del light.config_digests[:]
    light.config_digests.extend(newer)
    return light


class VoteTally:
    """The votes of one phase; votes of a forgotten incarnation do not count."""

    def __init__(self, needed: QuorumSets) -> None:
        self.needed = needed
        self._yes: dict[str, dict[str, int]] = {}
        self.refusals: set[str] = set()

    def add(self, member: str, yes: bool, incarnations: Mapping[str, int]) -> None:
        """One answer of a member."""
        if yes:
            self._yes[member] = dict(incarnations)
        else:
            self.refusals.add(member)

    def votes(self) -> set[str]:
        """Who said yes in an incarnation that nobody here knows to be over."""
        return {
            member
            for member, incarnations in self._yes.items()
            if all(other.get(member, 0) <= incarnations.get(member, 0) for other in self._yes.values())
        }

    def reached(self) -> bool:
        """Whether a majority of each set said yes."""
        return majority_of_each(self.needed, self.votes())

    def hopeless(self) -> bool:
        """Whether too many refused for that ever to come."""
        return not majority_of_each(self.needed, frozenset().union(*self.needed) - (self.refusals - self._yes.keys()))


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """The newest value names other members: start over by them."""

    held: tuple[Ballot, ClusterState]


@dataclass(frozen=True, slots=True)
class AlreadyChosen:
    """Nothing changes, and a majority holds this value already."""

    value: ClusterState


@dataclass(frozen=True, slots=True)
class SendAccepts:
    """Hand the value on: to these now, to the other members once they have promised: so they get what they lack."""

    to: frozenset[str]


@dataclass(frozen=True, slots=True)
class FoundingConflict:
    """Two registers were founded, each unaware of the other: none may go on, or both could be acknowledged."""

    own: Membership
    other: Membership


Chosen = MembershipChanged | AlreadyChosen | SendAccepts | FoundingConflict


class Proposal:
    """One ballot of a proposer, from its prepares to a majority of accepts.

    `known` is what its own replica holds (left out of answers), `asked` the value by whose members it asks, which was
    met under the ballot `asked_at`, `settled` the newest members of which this process knows that a majority took them.
    """

    def __init__(
        self,
        at: Ballot,
        asked: ClusterState,
        known: tuple[Ballot, ClusterState],
        change: StateTransition,
        settled: Membership,
        asked_at: Ballot = INITIAL_BALLOT,
    ) -> None:
        self.at, self.known, self.change, self.settled = at, known, change, settled
        self.asked = Membership.of(asked)
        self._met: tuple[Ballot, ClusterState] = (asked_at, asked)
        self.to = Membership.of(asked).all_members
        self.seen = at.round  # the highest round met
        self.value: ClusterState | None = None  # as proposed, or as found
        self.changed = False
        self.firm = True  # a plain read may set this to False: a majority that agrees is enough for it
        self.base: tuple[Ballot, ClusterState] = (INITIAL_BALLOT, ClusterState())  # what the promises brought
        self._promises = VoteTally(Membership.of(asked).quorum_sets)
        self._found: dict[str, tuple[Ballot, ClusterState]] = {}
        self._accepts: VoteTally | None = None

    def prepare(self) -> Prepare:
        """What is asked of each of `to`."""
        return Prepare(
            ballot=self.at.message(), known_ballot=self.known[0].message(), membership_version=self.asked.version
        )

    def promise(self, member: str, answer: Promise) -> Chosen | None:
        """One answer; what to do next once there are enough, None before that."""
        self.seen = max(self.seen, answer.promised.round)
        if answer.ok:
            held = Ballot.of(answer.accepted)
            left_out = held == self.known[0] and held != INITIAL_BALLOT
            self._found[member] = held, self.known[1] if left_out else answer.state
        if self._accepts is not None:
            if answer.ok:
                return SendAccepts(frozenset((member,)))
            self._accepts.add(member, False, answer.incarnations)
            return None
        if self.value is not None:
            return None
        self._promises.add(member, answer.ok, answer.incarnations)
        if not self._promises.reached():
            return None
        voters = self._promises.votes()
        # What was met may be newer than all that its own members hold: the end of a change that only a leaving one
        # took. A value chosen later would have been found, so this one is as good as found: without it, its members
        # and those before them would be asked in turn for ever.
        newest = max([self._met, *(self._found[one] for one in voters)], key=lambda found: found[0])
        for at, state in self._found.values():
            if newest[0] == INITIAL_BALLOT and founding_conflict(newest[1], newest[0], state, at):
                return FoundingConflict(self.asked, Membership.of(state))
        if Membership.of(newest[1]) != self.asked:
            self.value = newest[1]
            return MembershipChanged(newest)
        self.base = newest
        self.value = self.change(newest[1])
        if Membership.of(self.value) != self.asked and self.asked != self.settled:
            self.value = newest[1]
        self.changed = self.value is not newest[1]
        # An order that found nothing to change is written all the same: else what an older ballot left with a few
        # could still come after it, such as a start that was given up after the stop that followed.
        if (
            not self.firm
            and not self.changed
            and majority_of_each(
                Membership.of(self.value).quorum_sets, [one for one in voters if self._found[one][0] == newest[0]]
            )
        ):
            return AlreadyChosen(self.value)
        self._accepts = VoteTally(
            tuple(dict.fromkeys(Membership.of(newest[1]).quorum_sets + Membership.of(self.value).quorum_sets))
        )
        for refused in self._promises.refusals:
            self._accepts.add(refused, False, {})
        return SendAccepts(frozenset(self._found) | (Membership.of(self.value).all_members - self.to))

    def accept(self, member: str) -> Accept:
        """What is asked of one of them; what the base holds already stays away from those who hold the base."""
        assert self.value is not None
        held = self._found.get(member)
        message = Accept(ballot=self.at.message(), membership_version=self.value.membership_version)
        if held is not None and held[0] == self.base[0] != INITIAL_BALLOT:
            light = make_delta(self.value, self.base[1])
            if light is not None:
                message.state.CopyFrom(light)
                message.base_ballot.CopyFrom(self.base[0].message())
                return message
        message.state.CopyFrom(self.value)
        return message

    def accepted(self, member: str, answer: Accepted) -> bool:
        """One answer to an accept; True once a majority of each set holds it."""
        self.seen = max(self.seen, answer.promised.round)
        if self._accepts is None:
            return False
        self._accepts.add(member, answer.ok, answer.incarnations)
        return self._accepts.reached()

    def refused(self, member: str) -> None:
        """One that will not answer."""
        (self._accepts or self._promises).add(member, False, {})

    def hopeless(self) -> bool:
        """Whether this ballot can no longer come to anything."""
        return (self._accepts or self._promises).hopeless()
