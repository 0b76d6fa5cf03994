"""The counts of the tenants whose buckets this gateway holds. Owns their windows; whether it holds is not its matter.

A lease that begins knows nothing of what earlier holders passed: each tenant starts as if they had passed, up to the
moment at which the last of them may have counted, all that their limits allow, as late as possible. So whatever span
ends there, the windows hold at least what was passed in it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from hallhitch.planes.quota.limits import BUCKETS, Quota, bucket_of
from hallhitch.planes.quota.window import NUMBERS, Window
from hallhitch.planes.values import Tenant

NEVER = float("-inf")
MARKS = 1 << 13  # a unit's number tells its lease apart by so many marks


@dataclass(frozen=True, slots=True)
class Sum:
    """What an add gave: refused units are not counted. `wait`: ms until there is room. `slot` is for giving back.

    `fresh`: the holder counts what others may have passed, so it may refuse what a tenant has in truth left.
    """

    over: bool
    total: float
    slot: int
    wait: float = 0.0
    fresh: bool = False


@dataclass(slots=True)
class _Tenant:
    rate: float
    burst: float
    length: float
    short: float
    held: float
    window: Window


@dataclass(slots=True)
class _Bucket:
    began: float = NEVER
    others: float = NEVER  # until when others may have counted
    mark: int = 0  # in the numbers of its units, so that none goes back into another lease's window
    tenants: dict[str, _Tenant] = field(default_factory=dict)


class Holder:
    """Windows by tenant. Times are steady ms of this process."""

    def __init__(self, quota: Quota, life: int) -> None:
        self._quota, self._mark = quota, life
        self._buckets = [_Bucket() for _ in range(BUCKETS)]
        self._word: Mapping[str, Tenant] = {}

    def set_tenants(self, tenants: Mapping[str, Tenant]) -> None:
        """The tenants of the word, whose limits go before a caller's."""
        self._word = tenants

    def begin(self, bucket: int, others: float, now: float) -> None:
        """A lease begins; no other gateway has counted there since `others`."""
        mine = self._buckets[bucket]
        if others <= mine.began:
            return  # nobody was there since our last lease began: what we counted is what there is
        # Up to now, where our own last lease may have ended later than the others' votes.
        last = others if mine.began == NEVER else now
        self._mark = (self._mark + 1) % MARKS
        self._buckets[bucket] = _Bucket(now, last, self._mark)

    def busy(self, bucket: int, now: float) -> bool:
        """Whether units lie in a window of this bucket; tenants whose windows are empty are forgotten."""
        mine = self._buckets[bucket]
        for name, kept in [*mine.tenants.items()]:
            kept.window.advance(now)
            if kept.window.total <= 0:
                del mine.tenants[name]
        return bool(mine.tenants)

    def limits(self, tenant: str) -> tuple[float, float] | None:
        """Rate and burst as the word has them, where it limits this tenant."""
        known = self._word.get(tenant)
        return (known.rate, known.burst) if known is not None and known.rate > 0 else None

    def add(self, now: float, tenant: str, units: float, rate: float, burst: float) -> Sum:
        """Count units of a tenant against its limits, and read."""
        mine = self._buckets[bucket_of(tenant)]
        kept = mine.tenants.get(tenant)
        if kept is None or kept.rate != rate or kept.burst != burst:
            kept = mine.tenants[tenant] = self._shaped(now, mine, kept, rate, burst)
        window = kept.window
        window.advance(now)
        if window.total + units > kept.held or window.short + units > kept.short:
            wait = window.room_in(now, units, kept.held, kept.short)
            return Sum(True, window.total, 0, wait, now - mine.others < self._quota.window)
        slot = window.add(now, units)
        return Sum(False, window.total, mine.mark * NUMBERS + slot)

    def give_back(self, now: float, tenant: str, units: float, slot: int) -> bool:
        """Units go back to the slot they were counted in; False where that slot or the name is gone."""
        mine = self._buckets[bucket_of(tenant)]
        kept = mine.tenants.get(tenant)
        return (kept is not None and slot // NUMBERS == mine.mark
                and kept.window.give_back(now, slot % NUMBERS, units))

    def _shaped(self, now: float, mine: _Bucket, kept: _Tenant | None, rate: float, burst: float) -> _Tenant:
        """A tenant with these limits: counts stay where there are any."""
        held = self._quota.held(rate, burst)
        length, short = self._quota.short(rate, burst)
        if kept is not None:
            kept.window.reshape(now, length)
            return _Tenant(rate, burst, length, short, held, kept.window)
        window = Window(now, self._quota.window, length)
        moment, left = mine.others, held
        while left > 0 and now - moment <= self._quota.window + length:
            window.fill(moment, min(short, left))
            left -= short
            moment -= length
        return _Tenant(rate, burst, length, short, held, window)
