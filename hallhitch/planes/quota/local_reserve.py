"""What a gateway admits on its own while no holder responds. Owns its windows and the counts of gateways.

Invariant: the reserves of all gateways together stay within their share of the rule's limit, whatever partitions
there are. Each gateway divides that share by the number of gateways that the cluster configuration allows. Where that
is not known, or more gateways were seen, it divides by more than the most it has seen lately, and only once a quorum
of coordinators has reported a count. A new process waits out a window before it uses its share of it, as its last
incarnation may have used it.

Times are steady ms of this process.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from hallhitch.planes.quota.limits import QuotaRule, RateLimit

# Where no number is configured: gateways that may exist for each one seen, as some may be partitioned from all others.
GATEWAY_COUNT_FACTOR: Final = 1.25
# A count of gateways is remembered for so long at least, as one that is not seen any more may still admit requests.
GATEWAY_COUNT_MEMORY_MS: Final = 60_000.0


class _AdmittedUnit(NamedTuple):
    admitted_at: float
    slot: int


@dataclass(frozen=True, slots=True)
class _TenantReserve:
    """The units of one tenant in the windows, each by itself: they are few, and slots would take more memory."""

    even: deque[_AdmittedUnit] = field(default_factory=deque)
    at_once: deque[_AdmittedUnit] = field(default_factory=deque)

    @property
    def windows(self) -> tuple[deque[_AdmittedUnit], deque[_AdmittedUnit]]:
        """Both windows, in the order in which they are used."""
        return self.even, self.at_once


class LocalReserve:
    """The reserve of one incarnation of one gateway."""

    def __init__(self, quota: QuotaRule, started_at: float) -> None:
        self._quota = quota
        self._started_at = started_at
        self._reserves: dict[str, _TenantReserve] = {}
        self._last_slot = 0
        self._max_gateways = 0
        self._has_quorum_count = False
        # The most gateways seen in the current span of GATEWAY_COUNT_MEMORY_MS and in the one before.
        self._gateways_seen = 0
        self._gateways_seen_before = 0
        self._span_began_at = started_at

    def set_max_gateways(self, max_gateways: int) -> None:
        """Set how many gateways there may be by the cluster configuration; 0 = not known."""
        self._max_gateways = max_gateways

    def observe_gateways(self, now: float, gateways: int, *, is_quorum: bool) -> None:
        """Record a number of gateways that may exist; a single process may know of few, a quorum of most."""
        is_first_window_over = now - self._started_at > self._quota.window_ms
        is_quorum_count = is_quorum and gateways > 0
        if is_quorum_count and is_first_window_over:
            self._has_quorum_count = True
        if now - self._span_began_at > GATEWAY_COUNT_MEMORY_MS:
            self._gateways_seen_before = self._gateways_seen
            self._gateways_seen = 0
            self._span_began_at = now
        self._gateways_seen = max(self._gateways_seen, gateways)

    def take(self, now: float, tenant: str, limit: RateLimit) -> int | None:
        """Take one unit; return the number of its slot for `refund`, None where there is no unit left."""
        gateways_seen = max(self._gateways_seen, self._gateways_seen_before)
        is_configured = self._max_gateways > 0 and gateways_seen <= self._max_gateways
        if not is_configured and not self._has_quorum_count:
            return None
        gateways = self._max_gateways if is_configured else gateways_seen * GATEWAY_COUNT_FACTOR + 1
        limits = self._quota.reserve_limits(limit, gateways)
        reserve = self._reserves.setdefault(tenant, _TenantReserve())
        if self._fits(now, reserve.even, limits.even.window_ms, limits.even.units):
            return self._add(now, reserve.even)
        if self._fits(now, reserve.at_once, self._quota.window_ms, limits.at_once_units):
            return self._add(now, reserve.at_once)
        return None

    def refund(self, tenant: str, slot: int) -> None:
        """Return a unit whose request never ran."""
        reserve = self._reserves.get(tenant)
        if reserve is None:
            return
        for window in reserve.windows:
            for index, unit in enumerate(window):
                if unit.slot == slot:
                    del window[index]
                    return

    def drop_expired(self, now: float) -> None:
        """Remove the reserves whose units have all left their windows."""
        for tenant, reserve in [*self._reserves.items()]:
            if all(not window or now - window[-1].admitted_at > self._quota.window_ms for window in reserve.windows):
                del self._reserves[tenant]

    def _fits(self, now: float, window: deque[_AdmittedUnit], window_ms: float, limit: float) -> bool:
        while window and now - window[0].admitted_at > window_ms:
            window.popleft()
        return len(window) + 1 <= limit and now - self._started_at > window_ms

    def _add(self, now: float, window: deque[_AdmittedUnit]) -> int:
        self._last_slot += 1
        window.append(_AdmittedUnit(now, self._last_slot))
        return self._last_slot
