"""A coordinator's votes on who holds which bucket. Owns its own votes alone; a lease is a majority of such votes.

Nothing here is on disk. A coordinator that has just started has forgotten its votes, so for one LEASE it is
in_grace_period:
it votes for nobody but a claimant whose lease runs by its own account. The same holds after a change of members.
Why no bucket has two holders all the same: see lease_client.py.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from hallhitch.planes.quota.limits import BUCKETS

LEASE = 1000.0  # ms that a vote lasts from when it is cast
MARGIN = 50.0  # ms by which its holder ends it sooner: clocks may differ by so much within a LEASE
SEEN = 60_000.0  # ms for which a claimant counts as a gateway that may exist


def members_mark(members: Iterable[str]) -> int:
    """A number that tells lists of members apart, whatever their order; 0 stands for none."""
    listed = sorted(members)
    return zlib.crc32("\n".join(listed).encode()) | 1 if listed else 0


@dataclass(frozen=True, slots=True)
class Account:
    """What a holder's windows held when it sent a claim: units by tenant, in CELLS of a window, newest first.

    A tenant that is not named has none, or, where it is `partial`, as much as its limits allow.
    """

    sums: Mapping[str, Sequence[int]]
    partial: bool = False


_NOTHING = Account({})


@dataclass(frozen=True, slots=True)
class Left:
    """The newest account that a coordinator has of a bucket's last holder, `age` ms after it came.

    `final`: the holder counted nothing after it. Otherwise it counted for no longer than a LEASE after the newest
    claim that any of a majority has.
    """

    holder: str
    incarnation: int
    number: int
    account: Account
    final: bool
    age: float


@dataclass(slots=True)
class _Vote:
    """The last vote on a bucket. `since`: from then on no other holder had one here (steady ms)."""

    holder: str
    incarnation: int
    ends: float
    since: float
    before: Left | None = None  # what the last other holder left, its `age` being the moment it came
    left: Left | None = None  # what this one has told since it last took the bucket
    settled: bool = False  # its holder has said that its lease runs


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """One claim. `renew`: the claimant's lease runs; `acquire`: it wants one; `release`: it counts there no more;
    `drop`: the same, and it counted nothing there within a window. `accounts` are of what is renewed or released;
    a bucket without one has counted nothing. `to`: the incarnation of the coordinator it was written for."""

    holder: str
    incarnation: int
    number: int
    members: int
    renew: Sequence[int] = ()
    acquire: Sequence[int] = ()
    release: Sequence[int] = ()
    drop: Sequence[int] = ()
    accounts: Mapping[int, Account] = field(default_factory=dict)
    to: int = 0


@dataclass(frozen=True, slots=True)
class LeaseVotes:
    """What came of a claim. Without `ok` nothing was voted. All asked for and not refused have the vote.

    `idle` goes with `acquire`, in its order: ms for which no other had this coordinator's vote (0 where refused).
    `seen`: claimants of the last minute; 0 while it is in_grace_period and may have heard of few.
    """

    ok: bool
    incarnation: int
    in_grace_period: bool = False
    refused: frozenset[int] = frozenset()
    idle: tuple[int, ...] = ()
    seen: int = 0
    left: Mapping[int, Left] = field(default_factory=dict)  # by taken bucket, where its last holder is known


@dataclass(slots=True)
class LeaseTable:
    """The table of one coordinator's incarnation."""

    incarnation: int
    started: float
    lease: float = LEASE
    version: int = 0  # grows whenever `holders` may have changed
    _votes: dict[int, _Vote] = field(default_factory=dict)
    _numbers: dict[tuple[str, int], tuple[int, float]] = field(default_factory=dict)
    _seen: dict[str, float] = field(default_factory=dict)
    _members: int = 0
    _grace_until: float = 0.0
    _shown: dict[int, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._grace_until = self.started + self.lease

    def set_members(self, now: float, members: Iterable[str]) -> None:
        """Who votes. After a change, votes by the old list may still be counted by their holders for one LEASE."""
        mark = members_mark(members)
        if mark == self._members:
            return
        if self._members:
            self._grace_until = max(self._grace_until, now + self.lease)
        self._members = mark

    def in_grace_period(self, now: float) -> bool:
        """Whether votes that are forgotten may still count somewhere."""
        return now < self._grace_until

    def claim(self, now: float, asked: LeaseClaim) -> LeaseVotes:
        """Vote on one claim."""
        who = (asked.holder, asked.incarnation)
        # One that was overtaken must not undo the newer; one for an earlier incarnation of ours knows nothing of this.
        if (
            asked.to != self.incarnation
            or not asked.members
            or asked.members != self._members
            or asked.number <= self._numbers.get(who, (-1, 0.0))[0]
        ):
            return LeaseVotes(False, self.incarnation)
        self._numbers[who] = (asked.number, now)
        self._seen[asked.holder] = now
        for bucket in (*asked.release, *asked.drop):
            vote = self._votes.get(bucket)
            if vote is not None and (vote.holder, vote.incarnation) == who:
                if bucket in asked.release:
                    vote.ends, vote.left = min(vote.ends, now), self._left(now, bucket, asked, True)
                else:
                    vote.ends, vote.left = min(vote.ends, vote.since), vote.before
        in_grace_period = self.in_grace_period(now)
        refused = {bucket for bucket in asked.renew if not self._vote(now, bucket, who)}
        for bucket in asked.renew:
            if bucket not in refused:
                self._votes[bucket].settled, self._votes[bucket].left = True, self._left(now, bucket, asked, False)
        idle, left = [], {}
        for bucket in asked.acquire:
            given = not in_grace_period and self._vote(now, bucket, who)
            idle.append(max(0, int(now - self._votes[bucket].since)) if given else 0)
            if not given:
                refused.add(bucket)
                continue
            vote = self._votes[bucket]
            vote.settled, vote.left = False, None
            if vote.before is not None:
                left[bucket] = replace(vote.before, age=now - vote.before.age)
        self._show(now)
        return LeaseVotes(
            True,
            self.incarnation,
            in_grace_period,
            frozenset(refused),
            tuple(idle),
            0 if in_grace_period else self._gateways(now),
            left,
        )

    def holders(self, now: float) -> dict[int, str]:
        """Bucket -> internal address, of those whose lease runs as far as this coordinator knows."""
        self._show(now)
        return dict(self._shown)

    def sweep(self, now: float) -> int:
        """The version after what has ended by now is taken out."""
        self._show(now)
        return self.version

    def _left(self, now: float, bucket: int, asked: LeaseClaim, final: bool) -> Left | None:
        """What a claimant's account is worth here: while in_grace_period we may have forgotten a later holder."""
        if self.in_grace_period(now):
            return None
        account = asked.accounts.get(bucket, _NOTHING)
        return Left(asked.holder, asked.incarnation, asked.number, account, final, now)

    def _vote(self, now: float, bucket: int, who: tuple[str, int]) -> bool:
        if not 0 <= bucket < BUCKETS:
            return False
        vote = self._votes.get(bucket)
        if vote is None:
            # LeaseVotes of an earlier incarnation, if there were any, end with its grace period.
            vote = self._votes[bucket] = _Vote(*who, now, self._grace_until)
        elif (vote.holder, vote.incarnation) != who:
            if now < vote.ends:
                return False
            vote = self._votes[bucket] = _Vote(*who, now, max(vote.ends, vote.since), vote.left)
        vote.ends = now + self.lease
        return True

    def _gateways(self, now: float) -> int:
        for address, last in [*self._seen.items()]:
            if now - last > SEEN:
                del self._seen[address]
        if len(self._numbers) > 4 * len(self._seen) + 64:
            # A incarnation that was silent for so long has no claim under way any more.
            self._numbers = {who: told for who, told in self._numbers.items() if now - told[1] <= SEEN}
        return len(self._seen)

    def _show(self, now: float) -> None:
        shown = {bucket: vote.holder for bucket, vote in self._votes.items() if vote.settled and now < vote.ends}
        if shown != self._shown:
            self._shown = shown
            self.version += 1
