"""The rule on requests that a gateway took around its SIGTERM: each gets its response, or never runs.

The operators' documentation defines the rule under the same name. Only its part on SIGTERM is checked here.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Final

from hallhitch.lab.emulator.record_index import arrivals_by_id
from hallhitch.lab.emulator.records import BackendArrival, CheckBounds, ClientAttempt, Records, Termination, Violation

EXCUSED_IF_SENT_WITHIN_MS: Final = 3000.0  # after SIGTERM; later requests may not be cut while their backends work
EXCUSED_GRACE_PERIOD_RATIO: Final = 5 / 6  # of the grace period; until then, a gateway has to wait for backends
AFTER_GRACE_PERIOD_MS: Final = 1000.0  # for which the rule goes on
DEADLINE_TOLERANCE_MS: Final = 100.0  # gateways reply shortly before the deadline, and clients are told late
PLANNED_FAULTS: Final = frozenset(("left", "removed"))  # a process that got SIGTERM, until its machine is back


def check_shutdown_losses(records: Records, bounds: CheckBounds) -> list[Violation]:
    """LOST: after its SIGTERM, a gateway does not end a request without the response of a backend that works on it.

    A request that the gateway has read and that reached no backend gets a response, too. It counts as read if the
    gateway answered a request that was sent later.
    """
    answered = _answered_by_gateway(records)
    terminations: dict[str, list[Termination]] = defaultdict(list)
    for each in records.terminations:
        terminations[each.machine].append(each)
    arrivals = arrivals_by_id(records)
    violations = []
    for attempt in records.attempts:
        termination = _termination_around(attempt, terminations[attempt.gateway], bounds)
        if termination is None or _is_excused(attempt, records, bounds):
            continue
        if not arrivals.get(attempt.id) and not _was_read(attempt, answered[attempt.gateway]):
            continue
        loss = _describe_loss(attempt, arrivals.get(attempt.id, []), termination, bounds)
        if loss:
            detail = (
                f"{attempt.id}, sent to {attempt.gateway} {attempt.sent_at_ms - termination.at_ms:.0f} ms after its "
                f"SIGTERM, ended at {(attempt.ended_at_ms or 0.0) - termination.at_ms:.0f} ms {loss}"
            )
            violations.append(Violation("LOST", detail))
    return violations


def _termination_around(
    attempt: ClientAttempt, terminations: list[Termination], bounds: CheckBounds
) -> Termination | None:
    """Return the SIGTERM of the attempt's gateway around which the attempt ended, if there is one."""
    ended_at_ms = attempt.ended_at_ms
    if ended_at_ms is None:
        return None
    duration_ms = bounds.grace_period_ms + AFTER_GRACE_PERIOD_MS
    return next((each for each in terminations if each.at_ms <= ended_at_ms <= each.at_ms + duration_ms), None)


def _answered_by_gateway(records: Records) -> dict[str, list[ClientAttempt]]:
    """Return the attempts that got a response, by gateway."""
    answered: dict[str, list[ClientAttempt]] = defaultdict(list)
    for attempt in records.attempts:
        if attempt.status:
            answered[attempt.gateway].append(attempt)
    return answered


def _was_read(attempt: ClientAttempt, answered: list[ClientAttempt]) -> bool:
    """Return whether the gateway answered a later request before this one ended, so that it must have read this one."""
    ended_at_ms = attempt.ended_at_ms or 0.0
    return any(
        later.sent_at_ms > attempt.sent_at_ms and (later.ended_at_ms or ended_at_ms) < ended_at_ms for later in answered
    )


def _is_excused(attempt: ClientAttempt, records: Records, bounds: CheckBounds) -> bool:
    """Return whether the client left, the deadline was reached, or the gateway had an unplanned fault."""
    ended_at_ms = attempt.ended_at_ms or 0.0
    if attempt.left_at_ms is not None:
        return True
    if ended_at_ms - attempt.sent_at_ms >= attempt.deadline_ms - DEADLINE_TOLERANCE_MS:
        return True
    return any(
        fault.target == attempt.gateway
        and fault.fault not in PLANNED_FAULTS
        and fault.begin_ms <= ended_at_ms
        and fault.end_ms >= attempt.sent_at_ms - bounds.contact_window_ms
        for fault in records.fault_intervals
    )


def _describe_loss(
    attempt: ClientAttempt, arrivals: list[BackendArrival], termination: Termination, bounds: CheckBounds
) -> str:
    """Return how an attempt was lost, or ""."""
    ended_at_ms = attempt.ended_at_ms or 0.0
    if attempt.seal:
        return ""
    if not arrivals:
        is_late = ended_at_ms - attempt.sent_at_ms > bounds.loss_slack_ms
        return "without a response or a backend" if is_late and not attempt.status else ""
    if any(arrival.is_broken_off for arrival in arrivals):
        return ""
    at_work = [arrival for arrival in arrivals if _is_at_work(arrival, ended_at_ms)]
    may_cut_at_ms = termination.at_ms + EXCUSED_GRACE_PERIOD_RATIO * bounds.grace_period_ms
    may_be_cut = attempt.sent_at_ms - termination.at_ms <= EXCUSED_IF_SENT_WITHIN_MS and ended_at_ms >= may_cut_at_ms
    if at_work and not may_be_cut:
        response = f"with a {attempt.status} of the gateway" if attempt.status else "without a response"
        return f"{response} while {at_work[0].instance} worked on it"
    return "" if at_work or attempt.status else f"without the response of {arrivals[-1].instance}"


def _is_at_work(arrival: BackendArrival, moment_ms: float) -> bool:
    """Return whether the backend worked on the request at a moment, or would have if it had not been told to stop."""
    if arrival.started_at_ms is None or arrival.started_at_ms > moment_ms:
        return False
    return arrival.planned_end_ms is not None and arrival.planned_end_ms > moment_ms
