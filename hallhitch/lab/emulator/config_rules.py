"""CONFIG: configurations come into force in time, processes never go back, and reads return what was acknowledged."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from typing import Any, Final

from hallhitch.lab.emulator.config_semantics import ContactHistory, admits_request, permits_service, sent_configs
from hallhitch.lab.emulator.record_index import attempts_by_id
from hallhitch.lab.emulator.records import CheckBounds, Records, Violation

REFUSALS_BY_CONFIG: Final = (401, 403, 404)  # by a gateway's configuration, not by its load


def check_config_versions(records: Records, bounds: CheckBounds) -> list[Violation]:
    """CONFIG: requests are handled by a configuration that may be in force, and reads return the newest."""
    return [
        *_check_executions(records, bounds),
        *_check_refusals(records, bounds),
        *_check_downgrades(records, bounds),
        *_check_config_reads(records),
    ]


def _check_executions(records: Records, bounds: CheckBounds) -> list[Violation]:
    """A request is not executed as only a superseded configuration permits."""
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
            detail = f"{arrival.id} ran at {arrival.service} by {arrival.sender}: not by version {possible[0].version}"
            violations.append(Violation("CONFIG", detail))
    return violations


def _check_refusals(records: Records, bounds: CheckBounds) -> list[Violation]:
    """A request is not refused that every configuration that may be in force admits."""
    configs, violations = sent_configs(records.operations), []
    contact = ContactHistory(tuple(records.fault_intervals), bounds.contact_window_ms)
    for attempt in records.attempts:
        if attempt.status not in REFUSALS_BY_CONFIG or attempt.ended_at_ms is None:
            continue
        if not contact.is_in_contact((attempt.gateway,), attempt.sent_at_ms, attempt.ended_at_ms):
            continue
        possible = configs.possibly_in_force(attempt.sent_at_ms, attempt.ended_at_ms, bounds)
        is_admitted_by_all = all(
            admits_request(operation.config, attempt.host, attempt.path, attempt.api_key) for operation in possible
        )
        if possible and is_admitted_by_all:
            detail = f"{attempt.id} got {attempt.status} from {attempt.gateway}: version {possible[0].version} has it"
            violations.append(Violation("CONFIG", detail))
    return violations


def _check_downgrades(records: Records, bounds: CheckBounds) -> list[Violation]:
    """Within one incarnation of a process, nothing older takes effect once the effect of a version was seen."""
    configs, attempts, violations = sent_configs(records.operations), attempts_by_id(records), []
    starts_ms: dict[str, list[float]] = defaultdict(list)
    for started_at_ms, machine in sorted(records.process_starts):
        starts_ms[machine].append(started_at_ms)
    newest_seen: dict[tuple[str, int], tuple[int, float]] = {}  # by incarnation: (version, when)
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
            continue  # a violation of ROUTE
        incarnation = arrival.sender, bisect_right(starts_ms[arrival.sender], arrival.arrived_at_ms)
        seen_version, seen_at_ms = newest_seen.get(incarnation, (-1, 0.0))
        is_beyond_slack = attempt.sent_at_ms > seen_at_ms + bounds.downgrade_slack_ms
        if max(versions) < seen_version and is_beyond_slack and attempt.gateway == arrival.sender:
            detail = f"{arrival.id}: {arrival.sender} went back from version {seen_version} to {max(versions)}"
            violations.append(Violation("CONFIG", detail))
        if min(versions) > seen_version:
            newest_seen[incarnation] = min(versions), arrival.arrived_at_ms
    return violations


def _check_config_reads(records: Records) -> list[Violation]:
    """What the operator reads is the newest acknowledged configuration or a newer one, as it was sent."""
    configs, violations = sent_configs(records.operations), []
    for read in records.config_reads:
        acknowledged = configs.acknowledged_version(read.read_at_ms)
        if read.config is None:
            if acknowledged >= 0:
                detail = f"nothing was read back, version {acknowledged} was acknowledged"
                violations.append(Violation("CONFIG", detail))
            continue
        version = read.config.get("configVersion", -1)
        is_as_sent = any(
            operation.version == version and _normalize_numbers(operation.config) == _normalize_numbers(read.config)
            for operation in configs.accepted
        )
        if version < acknowledged:
            detail = f"version {version} was read back, {acknowledged} was acknowledged"
            violations.append(Violation("CONFIG", detail))
        elif not is_as_sent:
            detail = f"version {version} was read back otherwise than it was sent"
            violations.append(Violation("CONFIG", detail))
    return violations


def _normalize_numbers(value: Any) -> Any:
    """Return the same document with integers as floats, so that 1 and 1.0 are alike."""
    if isinstance(value, dict):
        return {name: _normalize_numbers(member) for name, member in value.items()}
    if isinstance(value, list | tuple):
        return [_normalize_numbers(member) for member in value]
    return float(value) if isinstance(value, int) and not isinstance(value, bool) else value
