"""What a gateway claims and what it holds. Owns its leases by its own clock; asks nobody itself.

A lease runs while the votes of a quorum run, each from when its claim was *sent*: a majority of the members and, during
a change of them, of the former ones (`lease_previous`). It begins only once there was one moment at which a quorum's
tables all had its votes: each had answered a claim before it and answers, in the same incarnation, another one sent
after it. When it lapses, everything known of the bucket's votes is void, answers under way among them, and it is won
anew. Both are needed because coordinators forget.

**Change of members**, from M0 by the joint J = (M0, M1) to M1. Quorums of M0 and J share a voter, so do those of J and
M1; those of M0 and M1 need not. *No lease is counted by M0 alone while one is counted by M1 alone*: when J is committed
a majority of M0 has accepted it and refuses claims of M0 from then on; its votes given before end within LEASE; and
M1 counts alone only once the register has dropped M0, LEASE and a margin later at least. A gateway may learn of any of
this late: it asks by the older membership, and is refused.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from hallhitch.planes.quota.lease import LEASE, MARGIN, LeaseClaim, LeaseVotes, PredecessorReport, UsageReport
from hallhitch.planes.quota.limits import BUCKETS
from hallhitch.planes.values import LeaseMembership

PATIENCE = 700.0  # ms that winning a bucket may take before it is let go
NEXT = 350.0  # ms that a bucket stays free before the next in its order tries
SETTLING = 300.0  # ms after the first view of the gateways, and after none of them were known, without taking
EVEN = 4000.0  # ms for which another must be a bucket's first, and we its holder, before it is handed over
HAND_OVER = 24  # buckets in one claim


def ranks(gateways: Iterable[str]) -> list[list[str]]:
    """For each bucket the gateways in the order of who should hold it (rendezvous).

    >>> len(ranks(["10.0.0.1:7000", "10.0.0.2:7000"])), sorted(ranks(["a", "b"])[0])
    (128, ['a', 'b'])
    """
    scores = {
        gateway: struct.unpack(f">{BUCKETS}I", hashlib.shake_128(gateway.encode()).digest(4 * BUCKETS))
        for gateway in set(gateways)
    }
    return [
        [gateway for _, gateway in sorted((-score[bucket], gateway) for gateway, score in scores.items())]
        for bucket in range(BUCKETS)
    ]


@dataclass(slots=True)
class _Won:
    """A lease: when each vote ends, and since which claim votes count for it.

    `kept`: until when it runs by the votes it had when the membership last changed.
    """

    first: int
    votes: dict[str, float]
    began: float
    kept: float = 0.0


@dataclass(slots=True)
class _Vote:
    """A vote in an attempt: it surely stood from `since` to `seen` (steady ms, ours)."""

    incarnation: int
    since: float
    seen: float
    ends: float
    others: float  # until when another may have had this vote
    left: (
        PredecessorReport | None
    )  # what the last of them told, its `age` turned into the moment at which it came at the latest


@dataclass(slots=True)
class _Attempt:
    """LeaseVotes for a bucket that is to be won, by coordinator."""

    began: float
    first: int  # number of its first claim
    votes: dict[str, _Vote] = field(default_factory=dict)
    against: set[str] = field(default_factory=set)


class LeaseClient:
    """The leases of one incarnation of one gateway.

    `begun(bucket, others, now, left, ended)` is told when a lease begins; `others`: until when another may have
    counted there; `left`: the newest account of the last one, where a majority knows who that was (its `age` is a
    moment); `ended`: the end of our own last lease.
    """

    def __init__(
        self,
        own: str,
        incarnation: int,
        window: float,
        begun: Callable[[int, float, float, PredecessorReport | None, float], None],
        lease: float = LEASE,
    ) -> None:
        self.own, self.incarnation, self._window, self._begun, self._lease = own, incarnation, window, begun, lease
        self.until = [0.0] * BUCKETS  # steady ms until which we hold it
        self.seen = 0  # gateways that may exist, as far as a majority has told
        self._membership = LeaseMembership()
        self._number = 0
        self._sent: dict[int, tuple[float, LeaseClaim]] = {}
        self._won: dict[int, _Won] = {}
        self._attempts: dict[int, _Attempt] = {}
        # bucket -> counted there, told until, whether our windows tell all there was
        self._letting: dict[int, tuple[bool, float, bool]] = {}
        self._incarnations: dict[str, int] = {}  # of the coordinators
        self._held_until = [float("-inf")] * BUCKETS  # the end of our own last lease
        self._again = [0.0] * BUCKETS
        self._free_since: list[float | None] = [0.0] * BUCKETS
        self._last = [""] * BUCKETS  # who held it before it became free: most likely gone, though others do not know
        self._order: list[list[str]] = [[] for _ in range(BUCKETS)]
        self._first_since = [0.0] * BUCKETS  # since when the order's first is who it is
        self._gateways: frozenset[str] = frozenset()
        self._settled = float("inf")
        self._told_seen: dict[str, int] = {}
        self._leaving = False

    def set_membership(self, now: float, membership: LeaseMembership) -> bool:
        """Whose votes count from now on, and whether that is news; an older one is ignored.

        A lease that runs goes on by the votes it has: it might as well have heard of this later.
        """
        known = self._membership
        if membership.version <= known.version:
            return False
        self._membership = membership
        if membership.quorum_sets == known.quorum_sets:
            return True
        self._told_seen = {name: much for name, much in self._told_seen.items() if name in membership.voters}
        self._lapse(now)
        for bucket, won in self._won.items():
            won.kept = self.until[bucket]
            self._reckon(bucket, won)
        for bucket in [*self._attempts]:
            self._abandon(now, bucket, 0.0)
        return True

    def set_gateways(self, now: float, gateways: Iterable[str]) -> None:
        """The live gateways that may hold buckets, this one among them if it may."""
        names = frozenset(gateways)
        if names == self._gateways:
            return
        if not self._gateways:
            self._settled = now + SETTLING
        self._gateways = names
        for bucket, order in enumerate(ranks(names)):
            if order[:1] != self._order[bucket][:1]:
                self._first_since[bucket] = now
            self._order[bucket] = order

    def set_holders(self, now: float, holders: Mapping[int, str]) -> None:
        """Who holds which bucket, as the coordinators tell."""
        for bucket in range(BUCKETS):
            holder = holders.get(bucket, self.own)
            if holder != self.own:
                self._free_since[bucket], self._last[bucket] = None, holder
            elif self._free_since[bucket] is None:
                self._free_since[bucket] = now

    def holds(self, now: float, bucket: int) -> bool:
        """Whether this gateway counts the bucket's tenants now."""
        return now < self.until[bucket]

    def held(self, now: float) -> list[int]:
        """The buckets whose lease runs."""
        return [bucket for bucket in self._won if now < self.until[bucket]]

    @property
    def voters(self) -> tuple[str, ...]:
        """Whom the claims go to."""
        return self._membership.voters

    def leave(self, now: float) -> None:
        """Take nothing more, and let all go with the next claim; nothing is counted from now on."""
        self._leaving = True
        for bucket in [*self._won]:
            self._let(now, bucket, True)
        for bucket in [*self._attempts]:
            self._abandon(now, bucket, 0.0)

    def incarnation_of(self, coordinator: str) -> int:
        """The incarnation of a coordinator that a claim to it is for (LeaseClaim.to)."""
        return self._incarnations.get(coordinator, 0)

    def round(
        self, now: float, busy: Callable[[int], bool], account: Callable[[int], UsageReport | None]
    ) -> LeaseClaim:
        """The claim to send to every member now; `busy` tells whether units of a bucket lie in the window.

        `account` tells what the windows of a bucket hold, None where nothing.
        """
        self._lapse(now)
        for bucket, attempt in [*self._attempts.items()]:
            if now - attempt.began > PATIENCE:
                self._abandon(now, bucket, 500.0)
        if not self._leaving:
            self._even_out(now, busy)
            self._try(now)
        self._number += 1
        self._letting = {bucket: let for bucket, let in self._letting.items() if now < let[1]}
        asked = LeaseClaim(
            self.own,
            self.incarnation,
            self._number,
            self._membership.version,
            renew=sorted(self._won),
            acquire=sorted(self._attempts),
            release=sorted(bucket for bucket, (counted, *_) in self._letting.items() if counted),
            drop=sorted(bucket for bucket, (counted, *_) in self._letting.items() if not counted),
            accounts=self._accounts(account),
        )
        self._sent[self._number] = (now, asked)
        for number in [number for number, (sent, _) in self._sent.items() if now - sent > self._lease]:
            del self._sent[number]
        return asked

    def answered(self, now: float, coordinator: str, number: int, votes: LeaseVotes) -> bool:
        """A coordinator's answer to one claim; True where the next claim should go out at once."""
        news = votes.membership is not None and self.set_membership(now, votes.membership)
        if coordinator not in self._membership.voters or number not in self._sent:
            return news
        if not votes.ok:
            known, self._incarnations[coordinator] = self._incarnations.get(coordinator), votes.incarnation
            return news or known != votes.incarnation
        sent, asked = self._sent[number]
        ends = sent + self._lease - MARGIN
        if votes.seen:
            self._told_seen[coordinator] = votes.seen
        if self._membership.has_quorum(self._told_seen):
            self.seen = max(self._told_seen.values())
        for bucket in asked.renew:
            if bucket not in votes.refused:
                self._renewed(now, bucket, coordinator, number, ends)
        hurry = False
        for bucket, idle in zip(asked.acquire, votes.idle, strict=False):
            attempt = self._attempts.get(bucket)
            if attempt is None or number < attempt.first:
                continue
            if now - attempt.began > PATIENCE:  # a vote may have ended and come back in so long a time
                self._abandon(now, bucket, 500.0)
            elif bucket in votes.refused:
                hurry = self._refused(now, bucket, coordinator, attempt) or hurry
            else:
                left = votes.left.get(bucket)
                left = replace(left, age=now - left.age) if left else None
                vote = _Vote(votes.incarnation, now, sent, ends, now - idle, left)
                hurry = self._voted(now, bucket, coordinator, attempt, vote) or hurry
        return hurry

    def _renewed(self, now: float, bucket: int, coordinator: str, number: int, ends: float) -> None:
        """A vote for a lease of ours, which may have lapsed."""
        won = self._won.get(bucket)
        if won is None or number < won.first:
            return
        if now >= self.until[bucket]:
            self._let(now, bucket, True)
            return
        won.votes[coordinator] = max(won.votes.get(coordinator, 0.0), ends)
        self._reckon(bucket, won)

    def _refused(self, now: float, bucket: int, coordinator: str, attempt: _Attempt) -> bool:
        """A vote against an attempt; True where it was given up and others hold votes of it."""
        attempt.votes.pop(coordinator, None)
        attempt.against.add(coordinator)
        if self._membership.has_quorum(frozenset(self._membership.voters) - attempt.against):
            return False
        order = self._order[bucket]
        self._abandon(now, bucket, 300.0 + 100.0 * order.index(self.own) if self.own in order else 500.0)
        return bool(attempt.votes)

    def _voted(self, now: float, bucket: int, coordinator: str, attempt: _Attempt, vote: _Vote) -> bool:
        """A vote for an attempt; True where the next claim should go out at once."""
        attempt.against.discard(coordinator)
        had = attempt.votes.get(coordinator)
        if had is None or had.incarnation != vote.incarnation:
            attempt.votes[coordinator] = vote
            return self._membership.has_quorum(attempt.votes)
        had.seen, had.ends = max(had.seen, vote.seen), max(had.ends, vote.ends)
        return self._decide(now, bucket, attempt)

    def _decide(self, now: float, bucket: int, attempt: _Attempt) -> bool:
        """Whether there was a moment at which a majority's tables had our votes: then the lease begins."""
        for moment in [vote.since for vote in attempt.votes.values()]:
            stood = {name: vote for name, vote in attempt.votes.items() if vote.since <= moment <= vote.seen}
            if self._membership.has_quorum(stood) and all(now < vote.ends for vote in stood.values()):
                del self._attempts[bucket]
                won = self._won[bucket] = _Won(self._number + 1, {name: vote.ends for name, vote in stood.items()}, now)
                self._reckon(bucket, won)
                self._begun(
                    bucket,
                    max(vote.others for vote in stood.values()),
                    now,
                    newest([vote.left for vote in stood.values()]),
                    self._held_until[bucket],
                )
                return True
        return False

    def _reckon(self, bucket: int, won: _Won) -> None:
        """Until when a quorum's votes run."""
        runs = []
        for one in self._membership.quorum_sets:
            ends = sorted((won.votes[name] for name in one & won.votes.keys()), reverse=True)
            need = len(one) // 2
            runs.append(ends[need] if len(ends) > need else 0.0)
        self.until[bucket] = max(min(runs, default=0.0), won.kept)

    def _lapse(self, now: float) -> None:
        for bucket in [bucket for bucket in self._won if now >= self.until[bucket]]:
            self._let(now, bucket, True)

    def _let(self, now: float, bucket: int, counted: bool) -> None:
        """The lease is over: nothing is counted from now on."""
        del self._won[bucket]
        self._held_until[bucket] = min(now, self.until[bucket]) if self.until[bucket] else now
        self.until[bucket] = 0.0
        self._letting[bucket] = counted, now + self._lease, True
        self._free_since[bucket] = now

    def _abandon(self, now: float, bucket: int, pause: float) -> None:
        del self._attempts[bucket]
        # What the vote of an attempt could have counted is nothing, but an earlier lease of ours may have counted.
        counted = now - self._held_until[bucket] < self._window
        self._letting[bucket] = counted, now + self._lease, False
        self._again[bucket] = now + pause

    def _accounts(self, account: Callable[[int], UsageReport | None]) -> dict[int, UsageReport]:
        told = {bucket: account(bucket) for bucket in self._won}
        for bucket, (counted, _, whole) in self._letting.items():
            if counted:
                # Others may have counted between an earlier lease of ours and an attempt that failed.
                told[bucket] = account(bucket) if whole else UsageReport({}, True)
        return {bucket: much for bucket, much in told.items() if much is not None}

    def _even_out(self, now: float, busy: Callable[[int], bool]) -> None:
        """Let go of buckets that count nothing and whose first is another, for that one to take."""
        given = 0
        for bucket, won in [*self._won.items()]:
            order = self._order[bucket]
            if given >= HAND_OVER:
                break
            recent = now - self._held_until[bucket] < self._window  # an earlier lease of ours may have counted
            if (
                order
                and order[0] != self.own
                and now - max(self._first_since[bucket], won.began) >= EVEN
                and not recent
                and not busy(bucket)
            ):
                self._let(now, bucket, False)
                self._again[bucket] = now + 2000.0
                given += 1

    def _try(self, now: float) -> None:
        if now < self._settled or self.own not in self._gateways or not self._membership.members:
            return
        for bucket, free in enumerate(self._free_since):
            if free is None or bucket in self._won or bucket in self._attempts or now < self._again[bucket]:
                continue
            order, gone = self._order[bucket], self._last[bucket]
            rank = order.index(self.own) - (gone != self.own and gone in order[: order.index(self.own)])
            if now - max(free, self._settled) >= NEXT * rank:
                self._letting.pop(bucket, None)
                self._attempts[bucket] = _Attempt(now, self._number + 1)


def newest(left: Sequence[PredecessorReport | None]) -> PredecessorReport | None:
    """The newest of what voters know of a bucket's last holder; None where they do not all mean the same one.

    Any holder before us shared a voter with us, or a set of members was dropped after it, and voters name nobody whose
    vote they gave before that (LeaseTable.set_membership). So if all mean the same, no other came after it, and it
    counted no longer than a LEASE after the newest claim of it that any of them has.
    """
    best: PredecessorReport | None = None
    for one in left:
        if one is None or best is not None and (one.holder, one.incarnation) != (best.holder, best.incarnation):
            return None
        if best is None or one.number > best.number:
            best = one
    return best


def wanted(asked: LeaseClaim) -> bool:
    """Whether a claim says more than that its gateway is there."""
    return bool(asked.renew or asked.acquire or asked.release or asked.drop)


__all__: Sequence[str] = ("LeaseClient", "newest", "ranks", "wanted")
