"""The counts of the tenants whose buckets this gateway holds. Owns their windows; whether it holds is not its matter.

A lease that begins starts each tenant with what earlier holders may have passed, as late as possible. So whatever
span ends at the moment at which the last of them may have counted, the windows hold at least what was passed in it.
Where the last one's account is known, that is the account, and all that the limits allow for the time after it
(a LEASE, or nothing where it let go in order). Otherwise it is all that the limits allow for a whole window.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from hallhitch.planes.quota.lease import LEASE, MARGIN, PredecessorReport, UsageReport
from hallhitch.planes.quota.limits import BUCKETS, Quota, bucket_of
from hallhitch.planes.quota.sliding_window import NUMBERS, SlidingWindow
from hallhitch.planes.values import Tenant

NEVER = float("-inf")
HEARD = 15_000.0  # ms in which every gateway has heard a newer word, or uses nothing by an older one
CELLS = 8  # of a window in an account
MARKS = 1 << 13  # a unit's number tells its lease apart by so many marks


@dataclass(frozen=True, slots=True)
class Sum:
    """What an add gave: refused units are not counted. `wait`: ms until there is room. `slot` is for giving back."""

    over: bool
    total: int
    slot: int
    wait: float = 0.0
    over_share: bool = False  # over for the holder's part alone: a caller's reserve may pass it


@dataclass(slots=True)
class _Tenant:
    rate: float
    burst: float
    fleet: int
    short: int
    held: int
    window: SlidingWindow
    whole: SlidingWindow  # what was passed or sent to a reserve: the tenant's count over all parts
    limits: tuple[int, int]  # of that, in its own window and in the rule's


@dataclass(slots=True)
class _Bucket:
    began: float = NEVER
    others: float = NEVER  # until when others may have counted
    left: PredecessorReport | None = None  # what the last of them told
    mark: int = 0  # in the numbers of its units, so that none goes back into another lease's window
    tenants: dict[str, _Tenant] = field(default_factory=dict)


class LeaseHolder:
    """Windows by tenant. Times are steady ms of this process."""

    def __init__(self, quota: Quota, incarnation: int) -> None:
        self._quota, self._mark = quota, incarnation
        self._buckets = [_Bucket() for _ in range(BUCKETS)]
        self._config: Mapping[str, Tenant] = {}
        self._fleet = self._noted = 0
        self._noted_at = NEVER

    def set_tenants(self, now: float, tenants: Mapping[str, Tenant], fleet: int = 0) -> None:
        """The tenants of the word, whose limits go before a caller's, and how many gateways it notes.

        More gateways may mean more for the holder and less for reserves: it waits until all others have heard that.
        """
        self._config = tenants
        if not self._fleet:
            self._fleet = self._noted = fleet
        elif fleet != self._noted:
            self._noted, self._noted_at = fleet, now

    def begin(
        self, bucket: int, others: float, now: float, left: PredecessorReport | None = None, ended: float = NEVER
    ) -> None:
        """A lease begins; no other gateway has counted there since `others`; see LeaseClient for `left`."""
        mine = self._buckets[bucket]
        if others <= mine.began:
            return  # nobody was there since our last lease began: what we counted is what there is
        if now - ended <= self._quota.window:
            # Our own last lease may have come after what the others told, and have ended after their votes.
            others, left = max(others, ended), None
        self._mark = (self._mark + 1) % MARKS
        self._buckets[bucket] = _Bucket(now, others, left, self._mark)

    def busy(self, bucket: int, now: float) -> bool:
        """Whether units lie in a window of this bucket; tenants whose windows are empty are forgotten."""
        mine = self._buckets[bucket]
        for name, kept in [*mine.tenants.items()]:
            kept.window.advance(now)
            if kept.window.total <= 0:
                del mine.tenants[name]
        told = mine.left is not None and mine.left.account.sums and now - mine.others < self._quota.window
        return bool(mine.tenants or told)

    def account(self, bucket: int, now: float) -> UsageReport | None:
        """What the windows of a bucket hold, None where nothing."""
        mine, sums = self._buckets[bucket], {}
        for name, kept in mine.tenants.items():
            kept.window.advance(now)
            if kept.window.total > 0:
                sums[name] = kept.window.cells(now, CELLS, self._quota.window / CELLS)
        partial = now - mine.others < self._quota.window
        return UsageReport(sums, partial) if sums or partial else None

    def limits(self, tenant: str) -> tuple[float, float] | None:
        """Rate and burst as the word has them, where it limits this tenant."""
        known = self._config.get(tenant)
        return (known.rate_per_s, known.burst) if known is not None and known.rate_per_s > 0 else None

    def add(self, now: float, tenant: str, units: int, rate: float, burst: float) -> Sum:
        """Count units of a tenant against its limits, and read."""
        mine = self._buckets[bucket_of(tenant)]
        kept = mine.tenants.get(tenant)
        if self._fleet != self._noted and now - self._noted_at > HEARD:
            self._fleet = self._noted
        if kept is None or kept.rate != rate or kept.burst != burst or kept.fleet != self._fleet:
            kept = mine.tenants[tenant] = self._shaped(now, mine, tenant, rate, burst)
        window = kept.window
        window.advance(now)
        whole, (short, most) = kept.whole, kept.limits
        whole.advance(now)
        if whole.short + units > short or whole.total + units > most:
            return Sum(True, whole.total, 0, whole.room_in(now, units, most, short))
        whole.add(now, units)
        if window.total + units > kept.held or window.short + units > kept.short:
            wait = window.room_in(now, units, kept.held, kept.short)
            return Sum(True, whole.total, 0, wait, over_share=True)
        slot = window.add(now, units)
        return Sum(False, window.total, mine.mark * NUMBERS + slot)

    def give_back(self, now: float, tenant: str, units: int, slot: int) -> bool:
        """Units go back to the slot they were counted in; False where that slot or the name is gone."""
        mine = self._buckets[bucket_of(tenant)]
        kept = mine.tenants.get(tenant)
        return kept is not None and slot // NUMBERS == mine.mark and kept.window.give_back(now, slot % NUMBERS, units)

    def _shaped(self, now: float, mine: _Bucket, name: str, rate: float, burst: float) -> _Tenant:
        """A tenant with these limits: counts stay where there are any."""
        kept = mine.tenants.get(name)
        held = math.floor(self._quota.held(rate, burst, self._fleet))
        length, most = self._quota.short(rate, burst, self._fleet)
        short = math.floor(most)
        own, limit, whole = self._quota.whole(rate, burst, self._fleet)
        limits = math.floor(limit), math.floor(whole)
        if kept is not None:
            kept.window.reshape(now, length)
            kept.whole.reshape(now, own)
            return _Tenant(rate, burst, self._fleet, short, held, kept.window, kept.whole, limits)
        window = SlidingWindow(now, self._quota.window, length)
        told = mine.left
        sums = None
        if told is not None:
            sums = told.account.sums.get(name) or (None if told.account.partial else ())
        unknown = LEASE - MARGIN / 2  # ms before `others` of which nothing is known
        if told is None or sums is None:
            unknown = self._quota.window + length
        elif told.final:
            unknown = 0.0
        moment, room = mine.others, held
        while room > 0 and mine.others - moment < unknown:
            window.fill(moment, min(short, room))
            room -= short
            moment -= length
        if told is not None and sums is not None:
            for back, units in enumerate(sums):
                window.fill(min(told.age - back * self._quota.window / CELLS, now), max(0, min(units, room)))
                room -= units
        return _Tenant(
            rate, burst, self._fleet, short, held, window, SlidingWindow(now, self._quota.window, own), limits
        )
