"""The rule on clients that leave: nothing goes on working for them.

Its name and meaning are those of the operators' page.
"""

from __future__ import annotations

from typing import Final

from hallhitch.lab.emulator.config_semantics import ContactHistory
from hallhitch.lab.emulator.record_index import attempts_by_id, non_idempotent_ids
from hallhitch.lab.emulator.records import BackendArrival, CheckBounds, Records, Violation

REACTION_MS: Final = 500.0  # after a client has left, in which its requests have to end
LATE_ARRIVALS_LIMIT: Final = 3  # requests that reach a backend later than that
LATE_EXECUTIONS_RATIO: Final = 0.25  # of the repeatable executions that would have lasted longer


def check_departures(records: Records, bounds: CheckBounds) -> list[Violation]:
    """GONE: no request reaches a backend long after its client has left, and no repeatable one is worked on."""
    contact = ContactHistory(tuple(records.fault_intervals), bounds.contact_window_ms)
    attempts, non_idempotent = attempts_by_id(records), non_idempotent_ids(records)
    late_arrivals, lasting, late_executions = 0, 0, 0
    for arrival in records.arrivals:
        attempt = attempts.get(arrival.id)
        if attempt is None or attempt.left_at_ms is None:
            continue
        limit_ms = attempt.left_at_ms + REACTION_MS
        if not contact.is_in_contact((arrival.sender, attempt.gateway), attempt.sent_at_ms, limit_ms):
            continue
        late_arrivals += arrival.arrived_at_ms > limit_ms
        if _would_last_beyond(arrival, limit_ms) and arrival.id not in non_idempotent:
            lasting += 1
            late_executions += arrival.stopped_at_ms is None or arrival.stopped_at_ms > limit_ms
    violations = []
    if late_arrivals > LATE_ARRIVALS_LIMIT:
        violations.append(Violation("GONE", f"{late_arrivals} requests reached a backend after their clients had left"))
    if late_executions > LATE_EXECUTIONS_RATIO * lasting:
        violations.append(
            Violation("GONE", f"{late_executions} of {lasting} executions went on after their clients had left")
        )
    return violations


def _would_last_beyond(arrival: BackendArrival, limit_ms: float) -> bool:
    return arrival.planned_end_ms is not None and arrival.planned_end_ms > limit_ms
