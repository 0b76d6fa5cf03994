"""Builds the records of a run by hand, for tests of the rules."""

from __future__ import annotations

from typing import Any, Final

from hallhitch.lab.emulator.operator_config import config_document, move_route
from hallhitch.lab.emulator.records import (
    BackendArrival,
    CheckBounds,
    ClientAttempt,
    Config,
    FaultInterval,
    OperatorOperation,
    Records,
)
from hallhitch.lab.emulator.rules import check_records
from hallhitch.lab.emulator.spec import SERVED_HOST, EmulatorSpec

BOUNDS: Final = CheckBounds(
    quota_window_ms=1000,
    quota_slack=0,
    quota_overshoot_ratio=0.0,
    retry_budget_slack=2,
    cold_slack=0,
    cold_overshoot_ratio=1.0,
)
FIRST_CONFIG: Final = config_document(EmulatorSpec(), 1)
API_KEY: Final = EmulatorSpec().api_keys(EmulatorSpec().tenants[0])[0]


def accepted_config(sent_at_ms: float, acknowledged_at_ms: float, version: int, config: Config) -> OperatorOperation:
    """Return the operation of a configuration that was acknowledged."""
    return OperatorOperation(sent_at_ms, "config", acknowledged_at_ms, version, config, status=200)


class RecordBuilder:
    """Builds the records of a run without faults, in which version 1 is acknowledged at 0 ms."""

    def __init__(self) -> None:
        self.records = Records(
            operations=[accepted_config(-100, 0.0, 1, FIRST_CONFIG)], process_starts=[(-1000, "edge-1")]
        )

    def add_attempt(self, sent_at_ms: float, kind: str = "look", status: int = 200, **changes: Any) -> ClientAttempt:
        """Add an attempt; by default, a successful one gets a complete response of the backend `b1`."""
        id = f"{len(self.records.attempts) + 1:x}"
        is_success = status == 200
        attempt = ClientAttempt(
            id=id,
            sent_at_ms=sent_at_ms,
            region="region-1",
            zone="zone-1a",
            gateway="edge-1",
            method="GET",
            host=SERVED_HOST,
            path=f"/{kind}/1",
            api_key=API_KEY,
            body_digest=0,
            deadline_ms=2000.0,
            ended_at_ms=sent_at_ms + 50,
            status=status,
            seal=f"b1.{id}" if is_success else "",
            echoed_id=id if is_success else "",
            response_digest=7 if is_success else 0,
            is_complete=True,
        )
        _set_fields(attempt, changes)
        self.records.attempts.append(attempt)
        return attempt

    def add_arrival(
        self, attempt: ClientAttempt, arrived_at_ms: float | None = None, instance: str = "b1", **changes: Any
    ) -> BackendArrival:
        """Add the arrival of an attempt at a backend, which by default executes it."""
        arrived_at_ms = attempt.sent_at_ms + 10 if arrived_at_ms is None else arrived_at_ms
        arrival = BackendArrival(
            number=next(self.records.arrival_numbers),
            id=attempt.id,
            arrived_at_ms=arrived_at_ms,
            instance=instance,
            service="shelf",
            zone="zone-1a",
            region="region-1",
            sender="edge-1",
            method=attempt.method,
            path=attempt.path,
            tenant="red",
            authorization="",
            body_digest=attempt.body_digest,
            started_at_ms=arrived_at_ms,
            status=200,
            seal=f"{instance}.{attempt.id}",
            response_digest=7,
        )
        _set_fields(arrival, changes)
        self.records.arrivals.append(arrival)
        return arrival

    def add_fault(self, begin_ms: float, end_ms: float, target: str, fault: str) -> None:
        """Add a fault of a machine."""
        self.records.fault_intervals.append(FaultInterval(begin_ms, end_ms, target, fault))

    def move_look_to_vault(self) -> None:
        """Add version 2, acknowledged at 1000 ms, which routes requests of the kind `look` to the service `vault`."""
        config = move_route(FIRST_CONFIG, "look", "vault", 2)
        self.records.operations.append(accepted_config(950, 1000.0, 2, config))

    def violated_rules(self) -> set[str]:
        """Check the records and return the names of the violated rules."""
        return {rule for rule, violations in check_records(self.records, BOUNDS).items() if violations}


def _set_fields(record: ClientAttempt | BackendArrival, changes: dict[str, Any]) -> None:
    for name, value in changes.items():
        assert hasattr(record, name)
        setattr(record, name, value)
