"""Rules on draining and cold backends, evacuated zones, quotas and the retry budget.

The operators' documentation defines the rules under the same names.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from functools import lru_cache
from typing import Final

from hallhitch.lab.emulator.config_semantics import (
    ContactHistory,
    SentConfigs,
    find_route,
    route_services,
    sent_configs,
)
from hallhitch.lab.emulator.record_index import (
    LOOKUP_CACHE_SIZE,
    Transit,
    WindowCount,
    attempts_by_id,
    count_in_sliding_windows,
)
from hallhitch.lab.emulator.records import FOREVER_MS, BackendArrival, CheckBounds, Records, Violation

MISDIRECTED: Final = 421  # the status of a backend that declines a request meant for another instance
COLD_WINDOW_MS: Final = 1000.0  # a cold backend's rate limit is per second


def check_drain(records: Records, bounds: CheckBounds) -> list[Violation]:
    """DRAIN: no request reaches a backend later than the drain timeout after the list shows it as draining or gone.

    Outages of the list do not count toward the timeout. It also runs during faults of machines, and binds a gateway as
    soon as that is in contact.
    """
    attempts = attempts_by_id(records)
    contact = ContactHistory(tuple(records.fault_intervals), bounds.contact_window_ms)
    listed_at_ms: dict[str, float] = {}
    for change in records.listing_changes:
        listed_at_ms[change.instance] = min(change.listed_at_ms, listed_at_ms.get(change.instance, FOREVER_MS))
    list_outages = [fault for fault in records.fault_intervals if fault.target == "platform"]
    violations = []
    for arrival in records.arrivals:
        draining_since_ms = listed_at_ms.get(arrival.instance)
        if draining_since_ms is None or arrival.arrived_at_ms <= draining_since_ms:
            continue
        if arrival.status == MISDIRECTED or arrival.id not in attempts:
            continue
        outage_ms = sum(
            max(0.0, min(arrival.arrived_at_ms, outage.end_ms) - max(draining_since_ms, outage.begin_ms))
            for outage in list_outages
        )
        is_late = arrival.arrived_at_ms - draining_since_ms - outage_ms > bounds.drain_timeout_ms
        machines = (arrival.sender, attempts[arrival.id].gateway)
        if is_late and contact.is_in_contact(machines, attempts[arrival.id].sent_at_ms, arrival.arrived_at_ms):
            after_ms = arrival.arrived_at_ms - draining_since_ms
            detail = (
                f"{arrival.id} reached {arrival.instance} {after_ms:.0f} ms after it was listed as draining or gone"
            )
            violations.append(Violation("DRAIN", detail))
    return violations


def check_evacuation(records: Records, bounds: CheckBounds) -> list[Violation]:
    """EVAC: no request reaches a zone later than the bound after its evacuation was acknowledged."""
    contact = ContactHistory(tuple(records.fault_intervals), bounds.contact_window_ms)
    attempts = attempts_by_id(records)
    violations = []
    for start in records.operations:
        if start.kind != "evacuate" or start.acknowledged_at_ms is None:
            continue
        stopped_at_ms = min(
            (
                stop.sent_at_ms
                for stop in records.operations
                if stop.kind == "return" and stop.zone == start.zone and stop.sent_at_ms >= start.sent_at_ms
            ),
            default=FOREVER_MS,
        )
        evacuated_at_ms = start.acknowledged_at_ms + bounds.evacuation_ms
        for arrival in records.arrivals:
            attempt = attempts.get(arrival.id)
            if arrival.zone != start.zone or arrival.status == MISDIRECTED or attempt is None:
                continue
            if not evacuated_at_ms < arrival.arrived_at_ms < stopped_at_ms:
                continue
            machines = (arrival.sender, attempt.gateway)
            if contact.is_in_contact(machines, attempt.sent_at_ms, arrival.arrived_at_ms):
                after_ms = arrival.arrived_at_ms - start.acknowledged_at_ms
                detail = (
                    f"{arrival.id} reached {arrival.instance} in {arrival.zone} {after_ms:.0f} ms after the evacuation"
                )
                violations.append(Violation("EVAC", detail))
    return violations


def check_cold_load(records: Records, bounds: CheckBounds) -> list[Violation]:
    """FAILBACK: within a second, a cold backend gets no more requests than it can handle."""
    attempts, violations = attempts_by_id(records), []
    arrivals_by_instance: dict[str, list[BackendArrival]] = defaultdict(list)
    for arrival in records.arrivals:
        if arrival.status != MISDIRECTED and arrival.id in attempts:
            arrivals_by_instance[arrival.instance].append(arrival)
    for period in records.cold_periods:
        limit = period.rate_per_s * bounds.cold_overshoot_ratio + bounds.cold_slack
        transits = [
            Transit(attempts[arrival.id].sent_at_ms, arrival.arrived_at_ms)
            for arrival in arrivals_by_instance[period.instance]
            if period.begin_ms <= arrival.arrived_at_ms < period.end_ms
        ]
        counts = count_in_sliding_windows(transits, COLD_WINDOW_MS)
        highest = max(counts, key=lambda count: count.requests, default=WindowCount(0.0, 0))
        if highest.requests > limit:
            detail = f"{period.instance} got {highest.requests} requests in a second, the limit is {limit:g} requests"
            violations.append(Violation("FAILBACK", detail))
    return violations


class _QuotaLimits:
    """The limits of tenants over time: the highest that any configuration possibly in force grants."""

    def __init__(self, configs: SentConfigs, bounds: CheckBounds) -> None:
        self._configs = configs
        self._bounds = bounds
        self._in_force_until_ms = [
            min(
                (
                    newer.acknowledged_at_ms
                    for newer in configs.accepted
                    if newer.acknowledged_at_ms is not None and newer.version > operation.version
                ),
                default=FOREVER_MS,
            )
            + bounds.config_apply_ms
            + bounds.quota_window_ms
            for operation in configs.accepted
        ]

    def limit(self, tenant_name: str, moment_ms: float) -> float:
        """Return how many requests of a tenant may be executed in the window that ends at this moment."""
        window_ms, highest = self._bounds.quota_window_ms, 0.0
        for operation, until_ms in zip(self._configs.accepted, self._in_force_until_ms, strict=True):
            tenant = operation.config.get("tenants", {}).get(tenant_name)
            if tenant is None or operation.sent_at_ms > moment_ms or until_ms < moment_ms - window_ms:
                continue
            if not tenant.get("ratePerS"):
                return FOREVER_MS
            highest = max(highest, tenant["ratePerS"] * window_ms / 1000 + tenant.get("burstSize", 0))
        return highest * (1 + self._bounds.quota_overshoot_ratio) + self._bounds.quota_slack


def check_quota(records: Records, bounds: CheckBounds) -> list[Violation]:
    """QUOTA: a tenant's executed requests exceed its limit in no window."""
    attempts, violations = attempts_by_id(records), []
    limits = _QuotaLimits(sent_configs(records.operations), bounds)
    transits_by_tenant: dict[str, list[Transit]] = defaultdict(list)
    for arrival in records.arrivals:
        if arrival.started_at_ms is not None and arrival.tenant and arrival.id in attempts:
            transit = Transit(attempts[arrival.id].sent_at_ms, arrival.arrived_at_ms)
            transits_by_tenant[arrival.tenant].append(transit)
    for tenant, transits in transits_by_tenant.items():
        exceeded = [
            (count - limit, ends_at_ms, count, limit)
            for ends_at_ms, count in count_in_sliding_windows(transits, bounds.quota_window_ms)
            if count > (limit := limits.limit(tenant, ends_at_ms))
        ]
        if exceeded:
            _, ends_at_ms, count, limit = max(exceeded)
            detail = (
                f"{tenant} ran {count} requests in the window to {ends_at_ms:.0f} ms, the limit is {limit:g} requests"
            )
            violations.append(Violation("QUOTA", detail))
    return violations


def check_retry_budget(records: Records, bounds: CheckBounds) -> list[Violation]:
    """BUDGET: in every window, the retries and hedged requests of a service stay within a ratio of its requests."""
    requests, retries = _requests_by_service(records), _retries_by_service(records)
    violations, window_ms = [], bounds.retry_window_ms
    for service, retried_at_ms in retries.items():
        sent_at_ms = requests[service]
        for index, moment_ms in enumerate(retried_at_ms):
            retry_count = index + 1 - bisect_left(retried_at_ms, moment_ms - window_ms)
            request_count = max(  # a retry may belong to a request sent up to one window earlier
                bisect_right(sent_at_ms, moment_ms - delay_ms)
                - bisect_left(sent_at_ms, moment_ms - delay_ms - window_ms)
                for delay_ms in (0.0, window_ms / 2, window_ms)
            )
            limit = bounds.retry_budget_ratio * request_count + bounds.retry_budget_slack
            if retry_count > limit:
                detail = f"{service} got {retry_count} repeated arrivals in a window, the limit is {limit:g} arrivals"
                violations.append(Violation("BUDGET", detail))
                break
    return violations


def _requests_by_service(records: Records) -> dict[str, list[float]]:
    """Return, for each service, the sorted send times of the requests that may be routed to it."""
    configs = sent_configs(records.operations).documents()

    @lru_cache(LOOKUP_CACHE_SIZE)
    def services(host: str, path: str) -> frozenset[str]:
        routes = (find_route(config, host, path) for config in configs)
        return frozenset(service for route in routes if route is not None for service in route_services(route.document))

    sent_at_ms: dict[str, list[float]] = defaultdict(list)
    for attempt in sorted(records.attempts, key=lambda attempt: attempt.sent_at_ms):
        for service in services(attempt.host, attempt.path):
            sent_at_ms[service].append(attempt.sent_at_ms)
    return sent_at_ms


def _retries_by_service(records: Records) -> dict[str, list[float]]:
    """Return, for each service, the sorted arrival times of requests that another arrival preceded."""
    retried_at_ms: dict[str, list[float]] = defaultdict(list)
    seen_ids: set[str] = set()
    for arrival in sorted(records.arrivals, key=lambda arrival: arrival.arrived_at_ms):
        if arrival.id in seen_ids:
            retried_at_ms[arrival.service].append(arrival.arrived_at_ms)
        seen_ids.add(arrival.id)
    return retried_at_ms
