"""Counts the tenants of the buckets that this gateway holds. Whether a lease is valid is decided elsewhere.

When a lease begins, each tenant's window is initialized with the units that earlier holders may have admitted, at the
latest possible times. Invariant: a window contains at least the units admitted in any time span that ends at the last
moment at which an earlier holder may have counted (`LeaseStart.exclusive_since`). If the predecessor's report is known,
the units are those of the report plus all that the limits allow for the time after it, which is a lease duration, or
zero if the report is final. Otherwise they are all that the limits allow for a full window.

Times are ms of this process's steady clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from hallhitch.planes.quota.lease import (
    CLOCK_MARGIN_MS,
    LEASE_DURATION_MS,
    NO_USAGE,
    LeaseStart,
    PredecessorReport,
    UsageReport,
)
from hallhitch.planes.quota.limits import BUCKET_COUNT, QuotaRule, RateLimit, bucket_of
from hallhitch.planes.quota.sliding_window import SLOT_NUMBER_MODULUS, SlidingWindow
from hallhitch.planes.values import Tenant

NEVER: Final = float("-inf")
# After this time every gateway has either received a newer configuration or stopped admitting by an older one.
CONFIG_PROPAGATION_MS: Final = 15_000.0
CELLS_PER_WINDOW: Final = 8  # of a usage report; more cells make claims larger, fewer count units longer
# Lease generations wrap around at this value. They ensure that a refund applies only to the lease that counted a unit.
LEASE_GENERATION_MODULUS: Final = 1 << 13


@dataclass(frozen=True, slots=True)
class CountResult:
    """The result of `add`; rejected units are not counted.

    `slot`: for `refund`. `is_over_share`: only the holder's share is exceeded, so the caller may use its reserve.
    """

    is_over_limit: bool
    total: int
    slot: int = 0  # of admitted units
    retry_after_ms: float = 0.0
    is_over_share: bool = False


@dataclass(slots=True)
class _TenantWindows:
    """The counts of one tenant against one limit.

    `holder_window`: the units that this holder has admitted. `tenant_window`: those and the units left to reserves.
    """

    limit: RateLimit
    max_gateways: int
    holder_window: SlidingWindow
    max_holder_units: int
    max_holder_short_units: int
    tenant_window: SlidingWindow
    max_tenant_units: int
    max_tenant_short_units: int


@dataclass(slots=True)
class _BucketState:
    """The counts of a bucket under one lease."""

    started_at: float = NEVER
    exclusive_since: float = NEVER  # no other gateway has counted since then
    predecessor: PredecessorReport | None = None
    lease_generation: int = 0  # part of each slot number, so that no unit is refunded to another lease's window
    tenants: dict[str, _TenantWindows] = field(default_factory=dict)


class TenantCounter:
    """The counts of all tenants in the buckets that this gateway holds."""

    def __init__(self, quota: QuotaRule, incarnation: int) -> None:
        self._quota = quota
        self._lease_generation = incarnation
        self._buckets = [_BucketState() for _ in range(BUCKET_COUNT)]
        self._tenants: Mapping[str, Tenant] = {}
        self._max_gateways = 0  # the number used for the limits, which may lag behind the configured one
        self._configured_max_gateways = 0
        self._configured_at = NEVER

    def set_tenants(self, now: float, tenants: Mapping[str, Tenant], max_gateways: int = 0) -> None:
        """Set the configured tenants, whose limits override those sent by callers, and the maximum number of gateways.

        A larger number of gateways may mean a larger limit for the holder and smaller reserves. So a new number is used
        only once all other gateways have the configuration.
        """
        self._tenants = tenants
        if not self._max_gateways:
            self._max_gateways = self._configured_max_gateways = max_gateways
        elif max_gateways != self._configured_max_gateways:
            self._configured_max_gateways = max_gateways
            self._configured_at = now

    def on_lease_acquired(self, lease: LeaseStart) -> None:
        """Reset a bucket's counts, unless no other gateway has counted since this gateway's current counts began."""
        bucket = self._buckets[lease.bucket]
        if lease.exclusive_since <= bucket.started_at:
            return
        exclusive_since, predecessor = lease.exclusive_since, lease.predecessor
        if lease.started_at - lease.own_last_ended_at <= self._quota.window_ms:
            # This gateway's last lease may have followed the predecessor's and may have outlasted the votes for it.
            exclusive_since = max(exclusive_since, lease.own_last_ended_at)
            predecessor = None
        self._lease_generation = (self._lease_generation + 1) % LEASE_GENERATION_MODULUS
        self._buckets[lease.bucket] = _BucketState(
            lease.started_at, exclusive_since, predecessor, self._lease_generation
        )

    def is_in_use(self, bucket: int, now: float) -> bool:
        """Return whether a window of a bucket contains units; tenants whose windows are empty are removed."""
        state = self._buckets[bucket]
        for name, windows in [*state.tenants.items()]:
            windows.holder_window.advance(now)
            if windows.holder_window.total <= 0:
                del state.tenants[name]
        if state.tenants:
            return True
        has_predecessor_usage = state.predecessor is not None and bool(state.predecessor.usage.units_by_tenant)
        return has_predecessor_usage and self._has_earlier_usage_in_window(state, now)

    def usage_report(self, bucket: int, now: float) -> UsageReport:
        """Return the units in the windows of a bucket."""
        state = self._buckets[bucket]
        units_by_tenant = {}
        cell_ms = self._quota.window_ms / CELLS_PER_WINDOW
        for name, windows in state.tenants.items():
            windows.holder_window.advance(now)
            if windows.holder_window.total > 0:
                units_by_tenant[name] = windows.holder_window.units_by_cell(now, CELLS_PER_WINDOW, cell_ms)
        is_partial = self._has_earlier_usage_in_window(state, now)
        return UsageReport(units_by_tenant, is_partial) if units_by_tenant or is_partial else NO_USAGE

    def configured_limit(self, tenant: str) -> RateLimit | None:
        """Return a tenant's configured limit; None if the configuration sets none."""
        configured = self._tenants.get(tenant)
        if configured is None or configured.rate_per_s <= 0:
            return None
        return RateLimit(configured.rate_per_s, configured.burst)

    def add(self, now: float, tenant: str, units: int, limit: RateLimit) -> CountResult:
        """Count units of a tenant unless they exceed its limits."""
        bucket = self._buckets[bucket_of(tenant)]
        windows = self._current_windows(now, bucket, tenant, limit)
        holder_window, tenant_window = windows.holder_window, windows.tenant_window
        holder_window.advance(now)
        tenant_window.advance(now)
        if not tenant_window.fits(units, windows.max_tenant_units, windows.max_tenant_short_units):
            retry_after_ms = tenant_window.ms_until_capacity(
                now, units, windows.max_tenant_units, windows.max_tenant_short_units
            )
            return CountResult(is_over_limit=True, total=tenant_window.total, retry_after_ms=retry_after_ms)
        tenant_window.add(units)
        if not holder_window.fits(units, windows.max_holder_units, windows.max_holder_short_units):
            retry_after_ms = holder_window.ms_until_capacity(
                now, units, windows.max_holder_units, windows.max_holder_short_units
            )
            return CountResult(
                is_over_limit=True, total=tenant_window.total, retry_after_ms=retry_after_ms, is_over_share=True
            )
        slot = bucket.lease_generation * SLOT_NUMBER_MODULUS + holder_window.add(units)
        return CountResult(is_over_limit=False, total=holder_window.total, slot=slot)

    def refund(self, now: float, tenant: str, units: int, slot: int) -> bool:
        """Remove units from the slot that counted them; return False if the slot has expired or the lease has ended."""
        bucket = self._buckets[bucket_of(tenant)]
        windows = bucket.tenants.get(tenant)
        lease_generation, slot_number = divmod(slot, SLOT_NUMBER_MODULUS)
        if windows is None or lease_generation != bucket.lease_generation:
            return False
        return windows.holder_window.refund(now, slot_number, units)

    def _has_earlier_usage_in_window(self, state: _BucketState, now: float) -> bool:
        """Return whether units counted by earlier holders may still be within a window."""
        return now - state.exclusive_since < self._quota.window_ms

    def _current_windows(self, now: float, bucket: _BucketState, tenant: str, limit: RateLimit) -> _TenantWindows:
        """Return a tenant's windows, adapted to the given limit and the current number of gateways."""
        is_count_changing = self._max_gateways != self._configured_max_gateways
        if is_count_changing and now - self._configured_at > CONFIG_PROPAGATION_MS:
            self._max_gateways = self._configured_max_gateways
        windows = bucket.tenants.get(tenant)
        if windows is not None:
            has_same_limits = windows.limit == limit and windows.max_gateways == self._max_gateways
            if has_same_limits:
                return windows
        windows = bucket.tenants[tenant] = self._make_windows(now, bucket, tenant, limit)
        return windows

    def _make_windows(self, now: float, bucket: _BucketState, tenant: str, limit: RateLimit) -> _TenantWindows:
        """Return windows with the given limit.

        Existing counts are kept; otherwise the windows start with the counts of earlier holders.
        """
        max_holder_units = math.floor(self._quota.holder_limit(limit, self._max_gateways))
        holder_short = self._quota.holder_short_window(limit, self._max_gateways)
        tenant_limits = self._quota.tenant_limits(limit, self._max_gateways)
        windows = bucket.tenants.get(tenant)
        if windows is not None:
            holder_window, tenant_window = windows.holder_window, windows.tenant_window
            holder_window.set_short_length(now, holder_short.window_ms)
            tenant_window.set_short_length(now, tenant_limits.short.window_ms)
        else:
            holder_window = SlidingWindow(now, self._quota.window_ms, holder_short.window_ms)
            tenant_window = SlidingWindow(now, self._quota.window_ms, tenant_limits.short.window_ms)
        new_windows = _TenantWindows(
            limit=limit,
            max_gateways=self._max_gateways,
            holder_window=holder_window,
            max_holder_units=max_holder_units,
            max_holder_short_units=math.floor(holder_short.units),
            tenant_window=tenant_window,
            max_tenant_units=math.floor(tenant_limits.full_units),
            max_tenant_short_units=math.floor(tenant_limits.short.units),
        )
        if windows is None:
            self._add_predecessor_units(now, bucket, tenant, new_windows, holder_short.window_ms)
        return new_windows

    def _add_predecessor_units(
        self, now: float, bucket: _BucketState, tenant: str, windows: _TenantWindows, short_length_ms: float
    ) -> None:
        """Add the units that earlier holders may have admitted for a tenant, as late as possible, up to the limits."""
        predecessor = bucket.predecessor
        reported_units = _reported_units(predecessor, tenant)
        if predecessor is None or reported_units is None:
            unreported_ms = self._quota.window_ms + short_length_ms
        elif predecessor.is_final:
            unreported_ms = 0.0
        else:
            unreported_ms = LEASE_DURATION_MS - CLOCK_MARGIN_MS / 2
        window, capacity = windows.holder_window, windows.max_holder_units
        counted_at = bucket.exclusive_since
        while capacity > 0 and bucket.exclusive_since - counted_at < unreported_ms:
            window.add_at(counted_at, min(windows.max_holder_short_units, capacity))
            capacity -= windows.max_holder_short_units
            counted_at -= short_length_ms
        if predecessor is None or reported_units is None:
            return
        for cell, units in enumerate(reported_units):
            cell_end = predecessor.received_at - cell * self._quota.window_ms / CELLS_PER_WINDOW
            window.add_at(min(cell_end, now), max(0, min(units, capacity)))
            capacity -= units


def _reported_units(report: PredecessorReport | None, tenant: str) -> Sequence[int] | None:
    """Return a tenant's units by cell from a report; None if the report does not determine them."""
    if report is None:
        return None
    units = report.usage.units_by_tenant.get(tenant)
    if units:
        return units
    return None if report.usage.is_partial else ()
