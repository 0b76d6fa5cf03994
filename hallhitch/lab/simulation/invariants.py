"""The checker of operation histories, with one function for each group of invariants.

The model is a versioned register, as in the operators' protocol: a write replaces the
configuration if its version is higher, and reads are linearizable. Times are virtual seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

from hallhitch.lab.simulation.operation_history import (
    Invariant,
    Observation,
    Operation,
    OperationHistory,
    OperationKind,
    Violation,
)

RESUME_BACKLOG_S: Final = 0.1  # the time in which a resumed process reads all data that arrived during the pause


def find_violations(history: OperationHistory) -> list[Violation]:
    """Return all violations of invariants."""
    return [violation for check in CHECKS for violation in check(history)]


def check_durability(history: OperationHistory) -> Iterator[Violation]:
    """A read that begins after an acknowledgement returns that version or a newer one."""
    for read in history.operations_of(OperationKind.DESCRIBE_CONFIG):
        acknowledged = history.acknowledged_version_before(read.invoked_at_s)
        if read.is_acknowledged and read.config_version < acknowledged:
            yield Violation(
                Invariant.DURABILITY,
                f"read invoked at {read.invoked_at_s:.3f} returned version {read.config_version}, "
                f"acknowledged: {acknowledged}",
            )
        if read.is_final_read and not read.is_acknowledged:
            yield Violation(
                Invariant.DURABILITY, f"the final read by {read.client} got no response (status {read.status})"
            )


def check_single_content(history: OperationHistory) -> Iterator[Violation]:  # noqa: C901  independent cases
    """All reads and observations of a version have the same, written content, and those of a serial the same state."""
    written: dict[int, set[str]] = {}
    for write in history.operations_of(OperationKind.REPLACE_CONFIG):
        written.setdefault(write.config_version, set()).add(write.content)
    observed: dict[int, dict[str, str]] = {}  # version -> content -> its first observer
    for read in history.operations_of(OperationKind.DESCRIBE_CONFIG):
        if read.is_acknowledged and read.config_version >= 0:
            observed.setdefault(read.config_version, {}).setdefault(read.content, read.client)
    for observation in history.observations:
        if observation.config_version >= 0:
            contents = observed.setdefault(observation.config_version, {})
            contents.setdefault(observation.content, observation.process)
    for version, contents in observed.items():
        if len(contents) > 1:
            yield Violation(Invariant.SINGLE_CONTENT, f"version {version} has several contents: {contents}")
        if unknown := contents.keys() - written.get(version, set()):
            yield Violation(
                Invariant.SINGLE_CONTENT, f"version {version} has contents {unknown}, which no operator wrote"
            )
    states_by_serial: dict[int, set[tuple[int, str, frozenset[str]]]] = {}
    for observation in history.observations:
        state = (observation.config_version, observation.content, observation.evacuated_zones)
        states_by_serial.setdefault(observation.serial, set()).add(state)
    for serial, states in states_by_serial.items():
        if len(states) > 1:
            yield Violation(Invariant.SINGLE_STATE, f"serial {serial} has several states: {sorted(map(str, states))}")


def check_single_acknowledged_content(history: OperationHistory) -> Iterator[Violation]:
    """At most one content of a version is acknowledged as committed; only a newer version supersedes a write."""
    acknowledged: dict[int, set[str]] = {}
    for write in history.operations_of(OperationKind.REPLACE_CONFIG):
        if write.is_acknowledged and write.is_superseded:
            if write.committed_version <= write.config_version:
                yield Violation(
                    Invariant.SUPERSEDED_BY_NEWER,
                    f"version {write.config_version} was acknowledged as superseded by {write.committed_version}",
                )
        elif write.is_acknowledged:
            acknowledged.setdefault(write.config_version, set()).add(write.content)
    for version, contents in acknowledged.items():
        if len(contents) > 1:
            yield Violation(
                Invariant.SINGLE_ACKNOWLEDGED_CONTENT, f"version {version} was acknowledged as {sorted(contents)}"
            )


def check_no_false_rejection(history: OperationHistory) -> Iterator[Violation]:
    """A write whose version and content were committed is never rejected."""
    committed = {(observation.config_version, observation.content) for observation in history.observations}
    for write in history.operations_of(OperationKind.REPLACE_CONFIG):
        is_rejected = 400 <= write.status < 500
        if is_rejected and (write.config_version, write.content) in committed:
            yield Violation(
                Invariant.NO_FALSE_REJECTION,
                f"{write.content} of version {write.config_version} was committed, but rejected with {write.status}",
            )


def check_monotonic_reads(history: OperationHistory) -> Iterator[Violation]:
    """Serials and versions never decrease within one incarnation of a process."""
    newest: dict[str, Observation] = {}
    for observation in history.observations:
        previous = newest.get(observation.process)
        if previous is not None and (
            observation.serial < previous.serial or observation.config_version < previous.config_version
        ):
            yield Violation(Invariant.MONOTONIC_READS, f"{observation.process} observed {previous}, then {observation}")
        newest[observation.process] = observation


def _earliest_sent_at_s(history: OperationHistory, observation: Observation) -> float:
    """Return when a state was sent at the earliest: a resumed gateway first reads what was sent during its pause."""
    pauses = history.gateway_pauses.get(observation.host, ())
    observed_at_s = observation.observed_at_s
    return min(
        [
            observed_at_s,
            *(pause.begin_s for pause in pauses if pause.overlaps(observed_at_s - RESUME_BACKLOG_S, observed_at_s)),
        ]
    )


def check_bounded_staleness(history: OperationHistory) -> Iterator[Violation]:
    """A gateway is never sent a version older than one that was acknowledged more than the bound before."""
    bound_s = history.config_apply_bound_s
    for observation in history.gateway_observations:
        acknowledged = history.acknowledged_version_before(_earliest_sent_at_s(history, observation) - bound_s)
        if observation.config_version < acknowledged:
            yield Violation(
                Invariant.BOUNDED_STALENESS,
                f"{observation.process} (started at {observation.process_started_at_s:.3f}) received version "
                f"{observation.config_version} at {observation.observed_at_s:.3f}, "
                f"{acknowledged} was acknowledged over {bound_s:.1f} s before",
            )


def check_propagation_time(history: OperationHistory) -> Iterator[Violation]:
    """Without faults, each gateway learns a version within the bound after its acknowledgement."""
    observations: dict[str, list[Observation]] = {}
    for observation in history.gateway_observations:
        observations.setdefault(observation.process, []).append(observation)
    for write in history.operations_of(OperationKind.REPLACE_CONFIG):
        if not write.is_acknowledged or write.completed_at_s is None:
            continue
        begin_s = write.completed_at_s - history.contact_window_s
        deadline_s = write.completed_at_s + history.config_apply_bound_s
        if any(fault.overlaps(begin_s, deadline_s) for fault in history.fault_intervals):
            continue
        for process, lifetime in history.gateway_lifetimes.items():
            known_versions = (
                observation.config_version
                for observation in observations.get(process, ())
                if observation.observed_at_s <= deadline_s
            )
            runs_throughout = lifetime.begin_s < begin_s and lifetime.end_s > deadline_s
            if runs_throughout and max(known_versions, default=-1) < write.config_version:
                yield Violation(
                    Invariant.PROPAGATION_TIME,
                    f"{process} did not have version {write.config_version} at {deadline_s:.3f}",
                )


def check_drain_propagation(history: OperationHistory) -> Iterator[Violation]:
    """A gateway in contact knows of a drain within the bound after the list showed it.

    The bound also runs during faults; it binds a gateway as soon as that is in contact.
    """
    faults = sorted(history.fault_intervals, key=lambda fault: fault.begin_s)
    observed_at_s = {(seen.process, seen.instance): seen.observed_at_s for seen in history.drain_observations}
    for process, lifetime in history.gateway_lifetimes.items():
        ends_at_s = min(lifetime.end_s, history.converged_by_s)
        for instance, listed_at_s in history.drains_listed_at_s.items():
            due_at_s = max(listed_at_s + history.drain_bound_s, lifetime.begin_s + history.contact_window_s)
            for fault in faults:
                if fault.overlaps(due_at_s, due_at_s):
                    due_at_s = fault.end_s
            learned_at_s = observed_at_s.get((process, instance), float("inf"))
            if min(learned_at_s, ends_at_s) > due_at_s:
                yield Violation(
                    Invariant.DRAIN_PROPAGATION,
                    f"{process} learned at {learned_at_s:.3f} that {instance} is draining, listed at {listed_at_s:.3f}",
                )


def check_availability(history: OperationHistory) -> Iterator[Violation]:
    """While a majority runs, a write is acknowledged within the bound."""
    writes = history.operations_of(
        OperationKind.REPLACE_CONFIG, OperationKind.START_EVACUATION, OperationKind.STOP_EVACUATION
    )
    for write in writes:
        begin_s = write.invoked_at_s
        for loss in history.majority_losses:
            if loss.overlaps(begin_s, begin_s + history.acknowledgement_bound_s):
                begin_s = max(begin_s, loss.end_s)
        end_times_s = [time_s for time_s in (write.completed_at_s, write.abandoned_at_s) if time_s is not None]
        is_late = begin_s + history.acknowledgement_bound_s < min([*end_times_s, history.converged_by_s])
        is_conflict = write.kind is OperationKind.REPLACE_CONFIG and write.status == 409
        if is_late and not is_conflict and not write.is_single_attempt:
            yield Violation(
                Invariant.AVAILABILITY,
                f"{write.kind.value} {write.config_version}{write.zone} invoked at {write.invoked_at_s:.3f}, "
                f"completed at {write.completed_at_s}",
            )


def check_members_hold_state(history: OperationHistory) -> Iterator[Violation]:
    """A machine has the replicated state on its disk before it becomes a member."""
    for addition in history.member_additions:
        if not addition.has_state:
            yield Violation(
                Invariant.MEMBERS_HOLD_STATE,
                f"{addition.host} became a member at {addition.added_at_s:.3f} without the state",
            )


def check_evacuation_order(history: OperationHistory) -> Iterator[Violation]:
    """A retried start of an evacuation is never committed after the acknowledgement of a later stop."""
    for observation in history.gateway_observations:
        for zone in observation.evacuated_zones:
            if not _may_be_evacuated(history, zone, observation):
                yield Violation(
                    Invariant.EVACUATION_ORDER,
                    f"{observation.process} received {zone} as evacuated at {observation.observed_at_s:.3f}",
                )


def _may_be_evacuated(history: OperationHistory, zone: str, observation: Observation) -> bool:
    """Whether an evacuation was started without a later stop that the gateway should have learned by then."""
    stopped_before_s = _earliest_sent_at_s(history, observation) - history.config_apply_bound_s
    starts = [
        operation
        for operation in history.operations_of(OperationKind.START_EVACUATION)
        if operation.zone == zone and operation.invoked_at_s <= observation.observed_at_s
    ]
    stops = [
        operation
        for operation in history.operations_of(OperationKind.STOP_EVACUATION)
        if operation.zone == zone and operation.is_acknowledged
    ]

    def is_stopped(start: Operation) -> bool:
        return any(
            stop.invoked_at_s > start.invoked_at_s and (stop.completed_at_s or 0.0) < stopped_before_s for stop in stops
        )

    return any(not is_stopped(start) for start in starts)


def check_convergence(history: OperationHistory) -> Iterator[Violation]:
    """At the end all gateways have the newest version, and the last operation on each zone has taken effect."""
    last_by_host = {observation.host: observation for observation in history.gateway_observations}
    if not last_by_host:
        return
    acknowledged = history.acknowledged_version_before(history.converged_by_s)
    for observation in last_by_host.values():
        if observation.config_version < acknowledged:
            yield Violation(
                Invariant.CONVERGENCE,
                f"{observation.process} still has version {observation.config_version} at the end, not {acknowledged}",
            )
    newest = max(last_by_host.values(), key=lambda observation: observation.serial)
    for zone, is_evacuated in _final_evacuations(history).items():
        if (zone in newest.evacuated_zones) is not is_evacuated:
            yield Violation(
                Invariant.EVACUATION_ORDER, f"{zone} is {'not ' if is_evacuated else ''}evacuated at the end"
            )


def _final_evacuations(history: OperationHistory) -> dict[str, bool]:
    """Return, for each zone whose last operation was acknowledged, whether it should be evacuated."""
    evacuations = history.operations_of(OperationKind.START_EVACUATION, OperationKind.STOP_EVACUATION)
    last_by_zone = {
        operation.zone: operation for operation in sorted(evacuations, key=lambda operation: operation.invoked_at_s)
    }
    return {
        zone: operation.kind is OperationKind.START_EVACUATION
        for zone, operation in last_by_zone.items()
        if operation.is_acknowledged
    }


CHECKS: Final[tuple[Callable[[OperationHistory], Iterator[Violation]], ...]] = (
    check_durability,
    check_single_content,
    check_single_acknowledged_content,
    check_no_false_rejection,
    check_monotonic_reads,
    check_bounded_staleness,
    check_propagation_time,
    check_drain_propagation,
    check_availability,
    check_members_hold_state,
    check_evacuation_order,
    check_convergence,
)
