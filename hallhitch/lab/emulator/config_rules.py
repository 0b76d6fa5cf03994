"""CONFIG: configurations apply in time, processes never revert to older ones, reads return acknowledged ones."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from typing import Any, Final

from hallhitch.lab.emulator.config_semantics import ContactHistory, admits_request, permits_service, sent_configs
from hallhitch.lab.emulator.record_index import attempts_by_id
from hallhitch.lab.emulator.records import CheckBounds, OperatorOperation, Records, Violation

# Statuses with which a gateway rejects a request because of its configuration rather than its load.
CONFIG_REJECTION_STATUSES: Final = (401, 403, 404)


def check_config_versions(records: Records, bounds: CheckBounds) -> list[Violation]:
    """CONFIG: requests are handled under a configuration that may be in force, and reads return the newest one."""
    return [
        *_check_executions(records, bounds),
        *_check_rejections(records, bounds),
        *_check_downgrades(records, bounds),
        *_check_config_reads(records),
        *_check_orders(records),
    ]


def _check_executions(records: Records, bounds: CheckBounds) -> list[Violation]:
    """Check that no request is executed in a way that only superseded configurations permit."""
    configs, attempts, violations = sent_configs(records.operations), attempts_by_id(records), []
    contact = ContactHistory(tuple(records.fault_intervals), bounds.contact_window_ms)
    for arrival in records.arrivals:
        attempt = attempts.get(arrival.id)
        if arrival.started_at_ms is None or attempt is None:
            continue
        machines = (arrival.sender, attempt.gateway)
        if not contact.is_in_contact(machines, attempt.sent_at_ms, arrival.arrived_at_ms):
            continue
        possible = configs.possibly_in_force(attempt.sent_at_ms, arrival.arrived_at_ms, bounds)
        is_permitted = any(
            permits_service(operation.config, attempt.host, attempt.path, attempt.api_key, arrival.service)
            for operation in possible
        )
        if possible and not is_permitted:
            detail = (
                f"{arrival.id} ran at {arrival.service} via {arrival.sender}, "
                f"which is not permitted since version {possible[0].version}"
            )
            violations.append(Violation("CONFIG", detail))
    return violations


def _check_rejections(records: Records, bounds: CheckBounds) -> list[Violation]:
    """Check that no request is rejected that every configuration possibly in force admits."""
    configs, violations = sent_configs(records.operations), []
    contact = ContactHistory(tuple(records.fault_intervals), bounds.contact_window_ms)
    for attempt in records.attempts:
        if attempt.status not in CONFIG_REJECTION_STATUSES or attempt.ended_at_ms is None:
            continue
        if not contact.is_in_contact((attempt.gateway,), attempt.sent_at_ms, attempt.ended_at_ms):
            continue
        possible = configs.possibly_in_force(attempt.sent_at_ms, attempt.ended_at_ms, bounds)
        is_admitted_by_all = all(
            admits_request(operation.config, attempt.host, attempt.path, attempt.api_key) for operation in possible
        )
        if possible and is_admitted_by_all:
            detail = (
                f"{attempt.id} got {attempt.status} from {attempt.gateway}, "
                f"admitted from version {possible[0].version} on"
            )
            violations.append(Violation("CONFIG", detail))
    return violations


def _check_downgrades(records: Records, bounds: CheckBounds) -> list[Violation]:
    """Check that no process reverts to an older version after the effect of a newer one was seen.

    Each incarnation of a process is checked separately: a restarted one may begin with an older version.
    """
    configs, attempts, violations = sent_configs(records.operations), attempts_by_id(records), []
    starts_ms: dict[str, list[float]] = defaultdict(list)
    for started_at_ms, machine in sorted(records.process_starts):
        starts_ms[machine].append(started_at_ms)
    newest_seen: dict[tuple[str, int], tuple[int, float]] = {}  # by incarnation: (version, time in ms)
    for arrival in sorted(records.arrivals, key=lambda arrival: arrival.arrived_at_ms):
        attempt = attempts.get(arrival.id)
        if arrival.started_at_ms is None or attempt is None:
            continue
        versions = [
            operation.version
            for operation in configs.accepted
            if operation.sent_at_ms <= arrival.arrived_at_ms
            and permits_service(operation.config, attempt.host, attempt.path, attempt.api_key, arrival.service)
        ]
        if not versions:
            continue  # ROUTE reports it
        incarnation = arrival.sender, bisect_right(starts_ms[arrival.sender], arrival.arrived_at_ms)
        seen_version, seen_at_ms = newest_seen.get(incarnation, (-1, 0.0))
        is_beyond_slack = attempt.sent_at_ms > seen_at_ms + bounds.downgrade_slack_ms
        if max(versions) < seen_version and is_beyond_slack and attempt.gateway == arrival.sender:
            detail = f"{arrival.id}: {arrival.sender} reverted from version {seen_version} to {max(versions)}"
            violations.append(Violation("CONFIG", detail))
        if min(versions) > seen_version:
            newest_seen[incarnation] = min(versions), arrival.arrived_at_ms
    return violations


def _check_config_reads(records: Records) -> list[Violation]:
    """Check that each read returns the newest acknowledged configuration or a newer one, unchanged."""
    configs, violations = sent_configs(records.operations), []
    for read in records.config_reads:
        acknowledged = configs.acknowledged_version(read.read_at_ms)
        if read.config is None:
            if acknowledged >= 0:
                detail = f"a read returned nothing although version {acknowledged} was acknowledged"
                violations.append(Violation("CONFIG", detail))
            continue
        version = read.config.get("configVersion", -1)
        is_unchanged = any(
            operation.version == version and _normalize_numbers(operation.config) == _normalize_numbers(read.config)
            for operation in configs.accepted
        )
        if version < acknowledged:
            detail = f"a read returned version {version} although version {acknowledged} was acknowledged"
            violations.append(Violation("CONFIG", detail))
        elif not is_unchanged:
            detail = f"a read returned version {version} with a content that was not sent"
            violations.append(Violation("CONFIG", detail))
    return violations


def _check_orders(records: Records) -> list[Violation]:
    """Check that nothing invalid is acknowledged, and that nothing acknowledged is rejected when it is sent again."""
    violations, acknowledged = [], list[OperatorOperation]()
    for operation in sorted(records.operations, key=lambda operation: operation.sent_at_ms):
        if operation.kind != "config":
            continue
        if operation.acknowledged_at_ms is not None:
            acknowledged.append(operation)
            if not operation.is_valid:
                violations.append(Violation("CONFIG", f"version {operation.version} is invalid and was acknowledged"))
        elif 400 <= operation.status < 500 and any(
            earlier.config == operation.config and (earlier.acknowledged_at_ms or 0.0) <= operation.sent_at_ms
            for earlier in acknowledged
        ):
            detail = f"version {operation.version} was acknowledged, sent again and rejected with {operation.status}"
            violations.append(Violation("CONFIG", detail))
    return violations


def _normalize_numbers(value: Any) -> Any:
    """Return the document with integers converted to floats, so that 1 equals 1.0."""
    if isinstance(value, dict):
        return {name: _normalize_numbers(member) for name, member in value.items()}
    if isinstance(value, list | tuple):
        return [_normalize_numbers(member) for member in value]
    return float(value) if isinstance(value, int) and not isinstance(value, bool) else value
