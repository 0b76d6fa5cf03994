"""The local reserve: units that a gateway admits on its own when no holder responds or the holder's share is used up.

Invariant: the reserves of all gateways together stay within their share of the rule's limit, whatever the network
partitions. Each gateway divides that share by the number of gateways that the cluster configuration allows. If that
number is not known, or more gateways were seen, the gateway divides by more than the highest number it has seen
recently, and only after a quorum of coordinators has reported a count. A new process waits for the length of a window
before it uses its share of that window, because its previous incarnation may have used it.

Times are ms of this process's steady clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from hallhitch.planes.quota.limits import QuotaRule, RateLimit

# If no number is configured, this many gateways are assumed for each one seen, as some may be partitioned from all
# others.
GATEWAY_COUNT_FACTOR: Final = 1.25
# A count of gateways is remembered for at least this long: a gateway that is no longer seen may still admit requests.
GATEWAY_COUNT_RETENTION_MS: Final = 60_000.0


class _AdmittedUnit(NamedTuple):
    admitted_at: float
    slot: int


@dataclass(frozen=True, slots=True)
class _TenantReserve:
    """One tenant's units in the windows, stored one by one: there are few, and slots would use more memory."""

    steady: deque[_AdmittedUnit] = field(default_factory=deque)
    burst: deque[_AdmittedUnit] = field(default_factory=deque)

    @property
    def windows(self) -> tuple[deque[_AdmittedUnit], deque[_AdmittedUnit]]:
        """Both windows, in the order in which they are used."""
        return self.steady, self.burst


class LocalReserve:
    """The reserve of one gateway incarnation."""

    def __init__(self, quota: QuotaRule, started_at: float) -> None:
        self._quota = quota
        self._started_at = started_at
        self._reserves: dict[str, _TenantReserve] = {}
        self._last_slot = 0
        self._max_gateways = 0
        self._has_quorum_count = False
        # Highest number of gateways seen in the current period of GATEWAY_COUNT_RETENTION_MS and in the previous one.
        self._gateways_seen = 0
        self._previous_gateways_seen = 0
        self._period_started_at = started_at

    def set_max_gateways(self, max_gateways: int) -> None:
        """Set how many gateways the cluster configuration allows; 0 = not known."""
        self._max_gateways = max_gateways

    def observe_gateways(self, now: float, gateways: int, *, is_quorum: bool) -> None:
        """Record how many gateways may exist; a single process may know only a few of them, a quorum knows most."""
        is_first_window_over = now - self._started_at > self._quota.window_ms
        is_quorum_count = is_quorum and gateways > 0
        if is_quorum_count and is_first_window_over:
            self._has_quorum_count = True
        if now - self._period_started_at > GATEWAY_COUNT_RETENTION_MS:
            self._previous_gateways_seen = self._gateways_seen
            self._gateways_seen = 0
            self._period_started_at = now
        self._gateways_seen = max(self._gateways_seen, gateways)

    def take(self, now: float, tenant: str, limit: RateLimit) -> int | None:
        """Take one unit; return its slot number for `refund`, or None if no unit is left."""
        gateways_seen = max(self._gateways_seen, self._previous_gateways_seen)
        is_configured = self._max_gateways > 0 and gateways_seen <= self._max_gateways
        if not is_configured and not self._has_quorum_count:
            return None
        gateways = self._max_gateways if is_configured else gateways_seen * GATEWAY_COUNT_FACTOR + 1
        limits = self._quota.reserve_limits(limit, gateways)
        reserve = self._reserves.setdefault(tenant, _TenantReserve())
        if self._fits(now, reserve.steady, limits.steady.window_ms, limits.steady.units):
            return self._add(now, reserve.steady)
        if self._fits(now, reserve.burst, self._quota.window_ms, limits.burst_units):
            return self._add(now, reserve.burst)
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
        """Remove the tenants whose units have all left their windows."""
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
