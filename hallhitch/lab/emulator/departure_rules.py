"""The rule on clients that disconnect: the system and its backends stop working on their requests.

The operators' documentation defines the rule under the same name.
"""

from __future__ import annotations

from typing import Final

from hallhitch.lab.emulator.config_semantics import ContactHistory
from hallhitch.lab.emulator.record_index import attempts_by_id, non_idempotent_ids
from hallhitch.lab.emulator.records import BackendArrival, CheckBounds, Records, Violation

REACTION_MS: Final = 500.0  # from the client's disconnect until its requests must have ended
LATE_ARRIVALS_LIMIT: Final = 3  # tolerated requests that reach a backend later than that
LATE_EXECUTIONS_RATIO: Final = 0.25  # tolerated share of the idempotent executions that would have lasted longer


def check_departures(records: Records, bounds: CheckBounds) -> list[Violation]:
    """GONE: after a client disconnects, its requests reach no backend and its idempotent executions are cancelled."""
    contact = ContactHistory(tuple(records.fault_intervals), bounds.contact_window_ms)
    attempts, non_idempotent = attempts_by_id(records), non_idempotent_ids(records)
    late_arrivals, long_executions, late_executions = 0, 0, 0
    for arrival in records.arrivals:
        attempt = attempts.get(arrival.id)
        if attempt is None or attempt.left_at_ms is None:
            continue
        limit_ms = attempt.left_at_ms + REACTION_MS
        if not contact.is_in_contact((arrival.sender, attempt.gateway), attempt.sent_at_ms, limit_ms):
            continue
        late_arrivals += arrival.arrived_at_ms > limit_ms
        if _would_last_beyond(arrival, limit_ms) and arrival.id not in non_idempotent:
            long_executions += 1
            late_executions += arrival.stopped_at_ms is None or arrival.stopped_at_ms > limit_ms
    violations = []
    if late_arrivals > LATE_ARRIVALS_LIMIT:
        violations.append(
            Violation("GONE", f"{late_arrivals} requests reached a backend after their clients disconnected")
        )
    if late_executions > LATE_EXECUTIONS_RATIO * long_executions:
        violations.append(
            Violation(
                "GONE", f"{late_executions} of {long_executions} executions continued after their clients disconnected"
            )
        )
    return violations


def _would_last_beyond(arrival: BackendArrival, limit_ms: float) -> bool:
    return arrival.planned_end_ms is not None and arrival.planned_end_ms > limit_ms
