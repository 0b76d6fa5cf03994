"""A coordinator's votes on who holds which bucket. Owns its own votes alone; a lease is a majority of such votes.

A vote is a fact of one coordinator: until it ends, this coordinator votes for nobody else on that bucket. By which
members the claimant counts it is not part of it. A claim of an older membership than this coordinator's is refused,
and told the newer one.

Nothing here is on disk. A coordinator that has just started has forgotten its votes, so for one LEASE it is
in_grace_period: it votes for nobody but a claimant whose lease runs by its own account.
Why no bucket has two holders all the same: see lease_client.py.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from hallhitch.planes.quota.limits import BUCKETS
from hallhitch.planes.values import LeaseMembership

LEASE = 1000.0  # ms that a vote lasts from when it is cast
MARGIN = 50.0  # ms by which its holder ends it sooner: clocks may differ by so much within a LEASE
SEEN = 60_000.0  # ms for which a claimant counts as a gateway that may exist
JOINT_STATES = 2  # membership versions of one change in which the sets before and after it both count


@dataclass(frozen=True, slots=True)
class UsageReport:
    """What a holder's windows held when it sent a claim: units by tenant, in CELLS of a window, newest first.

    A tenant that is not named has none, or, where it is `partial`, as much as its limits allow.
    """

    sums: Mapping[str, Sequence[int]]
    partial: bool = False


_NOTHING = UsageReport({})


@dataclass(frozen=True, slots=True)
class PredecessorReport:
    """The newest account that a coordinator has of a bucket's last holder, `age` ms after it came.

    `final`: the holder counted nothing after it. Otherwise it counted for no longer than a LEASE after the newest
    claim that any of a majority has.
    """

    holder: str
    incarnation: int
    number: int
    account: UsageReport
    final: bool
    age: float


@dataclass(slots=True)
class _Vote:
    """The last vote on a bucket. `since`: from then on no other holder had one here (steady ms)."""

    holder: str
    incarnation: int
    ends: float
    since: float
    before: PredecessorReport | None = None  # what the last other holder left, its `age` being the moment it came
    left: PredecessorReport | None = None  # what this one has told since it last took the bucket
    settled: bool = False  # its holder has said that its lease runs


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """One claim. `renew`: the claimant's lease runs; `acquire`: it wants one; `release`: it counts there no more;
    `drop`: the same, and it counted nothing there within a window. `accounts` are of what is renewed or released;
    a bucket without one has counted nothing. `to`: the incarnation of the coordinator it was written for."""

    holder: str
    incarnation: int
    number: int
    membership_version: int
    renew: Sequence[int] = ()
    acquire: Sequence[int] = ()
    release: Sequence[int] = ()
    drop: Sequence[int] = ()
    accounts: Mapping[int, UsageReport] = field(default_factory=dict)
    to: int = 0


@dataclass(frozen=True, slots=True)
class LeaseVotes:
    """What came of a claim. Without `ok` nothing was voted. All asked for and not refused have the vote.

    `idle` goes with `acquire`, in its order: ms for which no other had this coordinator's vote (0 where refused).
    `seen`: claimants of the last minute; 0 while it may have heard of few of them.
    `membership`: the coordinator's, where the claim was of an older one.
    """

    ok: bool
    incarnation: int
    in_grace_period: bool = False
    refused: frozenset[int] = frozenset()
    idle: tuple[int, ...] = ()
    seen: int = 0
    left: Mapping[int, PredecessorReport] = field(
        default_factory=dict
    )  # by taken bucket, where its last holder is known
    membership: LeaseMembership | None = None


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
    _membership: LeaseMembership = LeaseMembership()
    _grace_until: float = 0.0
    _listening_since: float | None = None  # when the first claim came
    _set_dropped: float = float("-inf")
    _shown: dict[int, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._grace_until = self.started + self.lease

    def set_membership(self, now: float, membership: LeaseMembership) -> None:
        """The newest membership that this coordinator has accepted or knows to be committed; an older one is ignored.

        Once a set counts no more, its quorums need not share a voter with those that count. Whoever held a lease by
        it alone has ended by now (see lease_client.py), but the votes here may not tell: `_set_dropped`.
        """
        known = self._membership
        if membership.version < known.version or membership == known:
            return
        skipped = membership.version - known.version > JOINT_STATES
        if skipped or not known.quorum_sets or not known.quorum_sets <= membership.quorum_sets:
            self._set_dropped = now
        self._membership = membership

    def in_grace_period(self, now: float) -> bool:
        """Whether votes that are forgotten may still count somewhere."""
        return now < self._grace_until

    def claim(self, now: float, asked: LeaseClaim) -> LeaseVotes:
        """Vote on one claim."""
        if not self._heeded(now, asked):
            older = asked.membership_version < self._membership.version
            return LeaseVotes(False, self.incarnation, membership=self._membership if older else None)
        self._release(now, asked)
        refused = self._renew(now, asked)
        idle, left = self._acquire(now, asked, refused)
        self._show(now)
        return LeaseVotes(
            True,
            self.incarnation,
            self.in_grace_period(now),
            frozenset(refused),
            tuple(idle),
            self._gateways(now),
            left,
        )

    def _heeded(self, now: float, asked: LeaseClaim) -> bool:
        """Whether a claim is voted on.

        One that was overtaken must not undo the newer; one for an earlier incarnation of ours knows nothing of this
        one; one of an older membership may be counted without those who count now.
        """
        if asked.to != self.incarnation or not self._membership.members:
            return False
        if asked.membership_version < self._membership.version:
            return False
        who = (asked.holder, asked.incarnation)
        if asked.number <= self._numbers.get(who, (-1, 0.0))[0]:
            return False
        self._numbers[who] = (asked.number, now)
        self._seen[asked.holder] = now
        if self._listening_since is None:
            self._listening_since = now
        return True

    def _release(self, now: float, asked: LeaseClaim) -> None:
        for bucket in (*asked.release, *asked.drop):
            vote = self._votes.get(bucket)
            if vote is None or (vote.holder, vote.incarnation) != (asked.holder, asked.incarnation):
                continue
            if bucket in asked.release:
                vote.ends, vote.left = min(vote.ends, now), self._left(now, bucket, asked, True)
            else:
                vote.ends, vote.left = min(vote.ends, vote.since), vote.before

    def _renew(self, now: float, asked: LeaseClaim) -> set[int]:
        """Vote for leases that run; the buckets that were refused."""
        refused = set()
        for bucket in asked.renew:
            if not self._vote(now, bucket, (asked.holder, asked.incarnation)):
                refused.add(bucket)
                continue
            self._votes[bucket].settled, self._votes[bucket].left = True, self._left(now, bucket, asked, False)
        return refused

    def _acquire(
        self, now: float, asked: LeaseClaim, refused: set[int]
    ) -> tuple[list[int], dict[int, PredecessorReport]]:
        """Vote for leases to be won; for how long nobody else had the votes, and what the last holders left."""
        idle, left = [], {}
        # A newer membership than ours may have dropped a set in between.
        dropped = now if asked.membership_version > self._membership.version else self._set_dropped
        for bucket in asked.acquire:
            given = not self.in_grace_period(now) and self._vote(now, bucket, (asked.holder, asked.incarnation))
            if not given:
                idle.append(0)
                refused.add(bucket)
                continue
            vote = self._votes[bucket]
            if vote.since < dropped:
                vote.since, vote.before = dropped, None
            idle.append(max(0, int(now - vote.since)))
            vote.settled, vote.left = False, None
            if vote.before is not None:
                left[bucket] = replace(vote.before, age=now - vote.before.age)
        return idle, left

    def holders(self, now: float) -> dict[int, str]:
        """Bucket -> internal address, of those whose lease runs as far as this coordinator knows."""
        self._show(now)
        return dict(self._shown)

    def sweep(self, now: float) -> int:
        """The version after what has ended by now is taken out."""
        self._show(now)
        return self.version

    def _left(self, now: float, bucket: int, asked: LeaseClaim, final: bool) -> PredecessorReport | None:
        """What a claimant's account is worth here: while in_grace_period we may have forgotten a later holder."""
        if self.in_grace_period(now):
            return None
        account = asked.accounts.get(bucket, _NOTHING)
        return PredecessorReport(asked.holder, asked.incarnation, asked.number, account, final, now)

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
        """Claimants of the last minute; 0 while not each had the time for a claim."""
        for address, last in [*self._seen.items()]:
            if now - last > SEEN:
                del self._seen[address]
        if len(self._numbers) > 4 * len(self._seen) + 64:
            # A incarnation that was silent for so long has no claim under way any more.
            self._numbers = {who: told for who, told in self._numbers.items() if now - told[1] <= SEEN}
        heard_all = self._listening_since is not None and now - self._listening_since >= self.lease
        return len(self._seen) if heard_all and not self.in_grace_period(now) else 0

    def _show(self, now: float) -> None:
        shown = {bucket: vote.holder for bucket, vote in self._votes.items() if vote.settled and now < vote.ends}
        if shown != self._shown:
            self._shown = shown
            self.version += 1
