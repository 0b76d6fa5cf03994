"""Each rule on records with a known result, on both sides of its bound."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any, Final

import pytest

from hallhitch.lab.emulator.operator_config import config_document, move_route, with_wrong_value
from hallhitch.lab.emulator.records import (
    ColdPeriod,
    Config,
    ConfigRead,
    ListingChange,
    OperatorOperation,
    Termination,
)
from hallhitch.lab.emulator.spec import EmulatorSpec, RequestKind
from tests.system.emulator.record_builder import API_KEY, FIRST_CONFIG, RecordBuilder, accepted_config

LONG_DEADLINE_MS: Final = 4000.0  # of the requests around a SIGTERM

Fill = Callable[[RecordBuilder], object]


def _limit_tenant(version: int, rate_per_s: int) -> Config:
    """Return the first configuration with a version, and with a rate limit without burst for the tenant red."""
    config = copy.deepcopy(dict(FIRST_CONFIG)) | {"configVersion": version}
    config["tenants"]["red"] |= {"ratePerS": rate_per_s, "burstSize": 0}
    return config


def _executed_twice(builder: RecordBuilder) -> None:
    attempt = builder.add_attempt(100, "stamp")
    builder.add_arrival(attempt)
    builder.add_arrival(attempt, 150, "b2")


def _retried(builder: RecordBuilder) -> None:
    attempt = builder.add_attempt(100, "look")
    builder.add_arrival(attempt, instance="b2", status=0, seal="")
    builder.add_arrival(attempt, 150)


def _rejected(kind: str, started_at_ms: float | None) -> Fill:
    def fill(builder: RecordBuilder) -> None:
        attempt = builder.add_attempt(100, kind, status=503)
        status = 200 if started_at_ms else 503
        builder.add_arrival(attempt, started_at_ms=started_at_ms, status=status, seal="")

    return fill


def _attempt(**changes: Any) -> Fill:
    return lambda builder: builder.add_arrival(builder.add_attempt(100, **changes))


def _arrival(**changes: Any) -> Fill:
    return lambda builder: builder.add_arrival(builder.add_attempt(100), **changes)


def _draining(arrived_at_ms: float, **changes: Any) -> Fill:
    """The list shows a backend as draining from 1000 ms; a request arrives."""

    def fill(builder: RecordBuilder) -> None:
        builder.records.listing_changes.append(ListingChange(1000, "b1"))
        builder.add_arrival(builder.add_attempt(arrived_at_ms - 10), **changes)

    return fill


def _draining_during_list_outage(builder: RecordBuilder) -> None:
    builder.add_fault(1500, 3500, "platform", "down")
    _draining(5000)(builder)


def _departed(count: int, stopped_at_ms: float, kind: str = "look", planned_end_ms: float = 2000.0) -> Fill:
    """Clients disconnect at 1000 ms; a backend is executing a request of each, and stops at `stopped_at_ms`."""

    def fill(builder: RecordBuilder) -> None:
        for _ in range(count):
            attempt = builder.add_attempt(800, kind, status=0, left_at_ms=1000.0)
            builder.add_arrival(attempt, planned_end_ms=planned_end_ms, stopped_at_ms=stopped_at_ms)

    return fill


def _departed_from_a_failing_gateway(builder: RecordBuilder) -> None:
    builder.add_fault(900, 1200, "edge-1", "paused")
    _departed(4, 1900)(builder)


def _departed_mostly_stopped(late_count: int) -> Fill:
    """Four clients disconnect; the executions of some of their requests are not cancelled in time."""

    def fill(builder: RecordBuilder) -> None:
        _departed(4 - late_count, 1100)(builder)
        _departed(late_count, 1900)(builder)

    return fill


def _arriving_after_departure(count: int, arrived_at_ms: float) -> Fill:
    """Requests reach a backend after their clients disconnected at 1000 ms."""

    def fill(builder: RecordBuilder) -> None:
        for _ in range(count):
            builder.add_arrival(
                builder.add_attempt(800, "stamp", status=0, left_at_ms=1000.0), arrived_at_ms=arrived_at_ms
            )

    return fill


def _terminated(
    sent_after_ms: float, ended_after_ms: float, status: int = 0, works: bool = True, **arrival_changes: Any
) -> Fill:
    """A gateway gets SIGTERM at 1000 ms; a request ends without a seal while a backend works on it, or had it."""

    def fill(builder: RecordBuilder) -> None:
        builder.records.terminations.append(Termination(1000.0, "edge-1"))
        ended_at_ms = 1000 + ended_after_ms
        attempt = builder.add_attempt(
            1000 + sent_after_ms, "stamp", status=status, seal="", is_complete=bool(status), ended_at_ms=ended_at_ms
        )
        attempt.deadline_ms = LONG_DEADLINE_MS
        planned_end_ms = ended_at_ms + 500 if works else ended_at_ms - 10
        builder.add_arrival(attempt, planned_end_ms=planned_end_ms, status=0, seal="", **arrival_changes)

    return fill


def _terminated_before_backend(ended_after_ms: float, later_sent_at_ms: float = 1110.0) -> Fill:
    """A gateway gets SIGTERM; a request that reaches no backend ends without a response, another one is answered."""

    def fill(builder: RecordBuilder) -> None:
        builder.records.terminations.append(Termination(1000.0, "edge-1"))
        builder.add_arrival(builder.add_attempt(later_sent_at_ms))
        attempt = builder.add_attempt(1100, status=0, seal="", is_complete=False, ended_at_ms=1100 + ended_after_ms)
        attempt.deadline_ms = LONG_DEADLINE_MS

    return fill


def _terminated_and_left(builder: RecordBuilder) -> None:
    _terminated(3100, 5400)(builder)
    builder.records.attempts[0].left_at_ms = builder.records.attempts[0].ended_at_ms


def _evacuated(arrived_at_ms: float, stopped_at_ms: float | None = None) -> Fill:
    """The evacuation of a zone is acknowledged at 1000 ms; a request arrives."""

    def fill(builder: RecordBuilder) -> None:
        operations = builder.records.operations
        operations.append(OperatorOperation(900, "evacuate", 1000.0, zone="zone-1a", status=200))
        if stopped_at_ms is not None:
            stop = OperatorOperation(stopped_at_ms, "return", stopped_at_ms + 10, zone="zone-1a", status=200)
            operations.append(stop)
        builder.add_arrival(builder.add_attempt(arrived_at_ms - 10))

    return fill


def _cold(count: int, interval_ms: float, delay_ms: float = 10.0) -> Fill:
    """A cold backend with a rate of three requests per second gets some requests."""

    def fill(builder: RecordBuilder) -> None:
        builder.records.cold_periods.append(ColdPeriod(0, 60_000, "b1", 3.0))
        for number in range(count):
            sent_at_ms = 100 + number * interval_ms
            builder.add_arrival(builder.add_attempt(sent_at_ms), sent_at_ms + delay_ms)

    return fill


def _limited(count: int, rate_per_s: int) -> Fill:
    """Requests arrive within 800 ms that span the boundary between two whole seconds."""

    def fill(builder: RecordBuilder) -> None:
        builder.records.operations = [accepted_config(-100, 0.0, 1, _limit_tenant(1, rate_per_s))]
        for number in range(count):
            builder.add_arrival(builder.add_attempt(20_600 + number * 800 / count))

    return fill


def _limit_lowered(first_sent_at_ms: float) -> Fill:
    """Version 2, acknowledged at 0 ms, lowers the limit from 20 to 5 per second; ten requests arrive in 500 ms."""

    def fill(builder: RecordBuilder) -> None:
        builder.records.operations = [
            accepted_config(-100, 0.0, version, _limit_tenant(version, rate_per_s))
            for version, rate_per_s in ((1, 20), (2, 5))
        ]
        for number in range(10):
            builder.add_arrival(builder.add_attempt(first_sent_at_ms + number * 50))

    return fill


def _retries(count: int, requests: int) -> Fill:
    """Some requests are sent, and the last `count` of them are retried."""

    def fill(builder: RecordBuilder) -> None:
        for number in range(requests):
            attempt = builder.add_attempt(100 + number * 10)
            if number >= requests - count:
                builder.add_arrival(attempt, instance="b2", started_at_ms=None, status=503, seal="")
            builder.add_arrival(attempt, attempt.sent_at_ms + 20)

    return fill


def _moved(sent_at_ms: float, service: str = "shelf") -> Fill:
    """Version 2, acknowledged at 1000 ms, routes `look` to `vault`; a request is executed by a service."""

    def fill(builder: RecordBuilder) -> None:
        builder.move_look_to_vault()
        builder.add_arrival(builder.add_attempt(sent_at_ms), service=service)

    return fill


def _downgraded(after_ms: float) -> Fill:
    """A request is executed as version 2 permits, and a later one as only version 1 permits."""

    def fill(builder: RecordBuilder) -> None:
        builder.move_look_to_vault()
        builder.add_arrival(builder.add_attempt(1100), service="vault")
        builder.add_arrival(builder.add_attempt(1110 + after_ms), service="shelf")

    return fill


def _added_route(status: int, sent_at_ms: float) -> Fill:
    """Version 2, acknowledged at 1000 ms, adds a route; a request on it gets a status."""

    def fill(builder: RecordBuilder) -> None:
        added = RequestKind("fresh", "idempotent", (("shelf", 1),), 1, 500, 2000)
        config = config_document(EmulatorSpec(), 2, [added])
        builder.records.operations.append(accepted_config(950, 1000.0, 2, config))
        builder.add_attempt(sent_at_ms, "fresh", status=status)

    return fill


def _read(config: Config | None) -> Fill:
    return lambda builder: builder.records.config_reads.append(ConfigRead(50_000, config))


def _read_after_move(builder: RecordBuilder) -> None:
    _moved(1000, "vault")(builder)
    _read(FIRST_CONFIG)(builder)


def _order(status: int, version: int, config: Config, *, is_valid: bool = True) -> Fill:
    acknowledged_at_ms = 2010.0 if status == 200 else None
    operation = OperatorOperation(
        2000.0, "config", acknowledged_at_ms, version, config, status=status, is_valid=is_valid
    )
    return lambda builder: builder.records.operations.append(operation)


def _sent_again(status: int) -> Fill:
    return _order(status, 1, FIRST_CONFIG)


def _invalid(status: int) -> Fill:
    return _order(status, 2, with_wrong_value(config_document(EmulatorSpec(), 2), 0), is_valid=False)


def _with_fault(fill: Fill, target: str = "edge-1") -> Fill:
    def fill_with_fault(builder: RecordBuilder) -> None:
        builder.add_fault(3000, 3500, target, "killed")
        fill(builder)

    return fill_with_fault


CASES: list[tuple[str, Fill, set[str]]] = [
    ("executed", _arrival(), set()),
    ("non-idempotent, executed twice", _executed_twice, {"TWICE"}),
    ("idempotent, executed twice", _retried, set()),
    ("non-idempotent, rejected, executed", _rejected("stamp", 110), {"REFUSED"}),
    ("non-idempotent, rejected, declined", _rejected("stamp", None), set()),
    ("idempotent, rejected, executed", _rejected("look", 110), set()),
    ("no seal", _attempt(seal=""), {"MIXED"}),
    ("a seal of no backend", _attempt(seal="b9.1"), {"MIXED"}),
    ("another body", _attempt(response_digest=8), {"MIXED"}),
    ("another request's response", _attempt(echoed_id="ff"), {"MIXED"}),
    ("a success from a failed execution", _arrival(status=500), {"MIXED"}),
    ("an unknown id", _arrival(id="ffff"), {"UNASKED", "MIXED"}),
    ("another path", _arrival(path="/look/2"), {"UNASKED"}),
    ("another tenant", _arrival(tenant="blue"), {"UNASKED"}),
    ("the key forwarded", _arrival(authorization=f"Token {API_KEY}"), {"UNASKED"}),
    ("a service that no version permits", _arrival(service="vault"), {"ROUTE", "CONFIG"}),
    ("a key that no version contains", _attempt(api_key="who"), {"ROUTE", "UNASKED", "CONFIG"}),
    ("draining, in time", _draining(3990), set()),
    ("draining, late", _draining(4100), {"DRAIN"}),
    ("draining, late, 421", _draining(4100, status=421, started_at_ms=None, seal=""), {"MIXED"}),
    ("draining, late, list down", _draining_during_list_outage, set()),
    ("draining, late, gateway down", _with_fault(_draining(4100)), set()),
    ("cancelled when its client disconnects", _departed(4, 1100), set()),
    ("continuing without its client", _departed(4, 1900), {"GONE"}),
    ("continuing without its client, briefly", _departed(4, 1450, planned_end_ms=1450), set()),
    ("continuing without its client, non-idempotent", _departed(4, 1900, "stamp"), set()),
    ("continuing without its client, out of contact", _departed_from_a_failing_gateway, set()),
    ("one in four continuing without its client", _departed_mostly_stopped(1), set()),
    ("two in four continuing without their clients", _departed_mostly_stopped(2), {"GONE"}),
    ("a few arrivals after their clients disconnected", _arriving_after_departure(3, 1600), set()),
    ("many arrivals after their clients disconnected", _arriving_after_departure(4, 1600), {"GONE"}),
    ("many arrivals while their clients disconnect", _arriving_after_departure(9, 1400), set()),
    ("cut at work, sent late after SIGTERM", _terminated(3001, 5400), {"LOST"}),
    ("cut at work in the last sixth, sent in time", _terminated(3000, 5000), set()),
    ("cut at work before the last sixth", _terminated(1500, 4990), {"LOST"}),
    ("cut at work at its deadline", _terminated(3100, 3100 + LONG_DEADLINE_MS - 100), set()),
    ("cut at work before its deadline", _terminated(3100, 3100 + LONG_DEADLINE_MS - 110), {"LOST"}),
    ("replaced by the gateway at work", _terminated(3100, 5400, status=502), {"LOST"}),
    ("cut after its backend had ended", _terminated(100, 3000, works=False), {"LOST"}),
    ("failed after its backend had ended", _terminated(100, 3000, status=502, works=False), set()),
    ("broken off by its backend", _terminated(100, 3000, works=False, is_broken_off=True), set()),
    ("cut long after the grace period", _terminated(6900, 7010), set()),
    ("cut at work when its client left", _terminated_and_left, set()),
    ("cut at work at a gateway that is paused", _with_fault(_terminated(3100, 5400)), set()),
    ("unread, closed at once", _terminated_before_backend(200), set()),
    ("closed without a backend", _terminated_before_backend(210), {"LOST"}),
    ("closed without a backend, perhaps unread", _terminated_before_backend(210, later_sent_at_ms=1090), set()),
    ("evacuated, in time", _evacuated(5990), set()),
    ("evacuated, late", _evacuated(6100), {"EVAC"}),
    ("evacuated, stopped", _evacuated(6100, stopped_at_ms=3000), set()),
    ("evacuated, late, out of contact", _with_fault(_evacuated(6100)), set()),
    ("cold, at its rate", _cold(3, 300), set()),
    ("cold, above its rate", _cold(4, 300), {"FAILBACK"}),
    ("cold, above its rate, sent long before", _cold(4, 300, delay_ms=5000), set()),
    ("within the quota", _limited(10, 10), set()),
    ("above the quota in a sliding window", _limited(11, 10), {"QUOTA"}),
    ("a lower limit not yet binding", _limit_lowered(3500), set()),
    ("a lower limit binding", _limit_lowered(5500), {"QUOTA"}),
    ("retries within the budget", _retries(4, 10), set()),
    ("retries above the budget", _retries(5, 10), {"BUDGET"}),
    ("old service, in time", _moved(3990), set()),
    ("old service, late", _moved(4100), {"CONFIG"}),
    ("old service, late, out of contact", _with_fault(_moved(4100)), set()),
    ("old service, coordinator down", _with_fault(_moved(4100), "core"), set()),
    ("new service at once", _moved(960, "vault"), set()),
    ("downgraded", _downgraded(300), {"CONFIG"}),
    ("downgraded within the slack", _downgraded(100), set()),
    ("an added route rejected late", _added_route(404, 4100), {"CONFIG"}),
    ("an added route rejected in time", _added_route(404, 3900), set()),
    ("an added route overloaded", _added_route(503, 4100), set()),
    ("read back", _read(FIRST_CONFIG), set()),
    ("no response to a read", _read(None), {"CONFIG"}),
    ("read back, changed", _read(dict(FIRST_CONFIG) | {"limits": {}}), {"CONFIG"}),
    ("read back, older", _read_after_move, {"CONFIG"}),
    ("an acknowledged version rejected when it is sent again", _sent_again(400), {"CONFIG"}),
    ("an acknowledged version acknowledged again", _sent_again(200), set()),
    ("an acknowledged version without an answer when it is sent again", _sent_again(0), set()),
    ("an invalid version acknowledged", _invalid(200), {"CONFIG"}),
    ("an invalid version rejected", _invalid(400), set()),
]


@pytest.mark.parametrize(("fill", "expected"), [case[1:] for case in CASES], ids=[case[0] for case in CASES])
def test_violated_rules(fill: Fill, expected: set[str]) -> None:
    builder = RecordBuilder()
    fill(builder)
    assert builder.violated_rules() == expected


@pytest.mark.parametrize(("region", "expected"), [("region-1", set[str]()), ("region-2", {"HOME"})])
def test_requests_reach_allowed_regions_only(region: str, expected: set[str]) -> None:
    kind = RequestKind("near", "idempotent", (("shelf", 1),), 1, 500, 2000, allowed_regions=("region-1",))
    builder = RecordBuilder()
    config = config_document(EmulatorSpec(), 2, [kind])
    builder.records.operations.append(accepted_config(0, 10.0, 2, config))
    builder.add_arrival(builder.add_attempt(100, "near"), region=region)
    assert builder.violated_rules() == expected


def test_rejected_configuration_is_never_in_force() -> None:
    builder = RecordBuilder()
    rejected = move_route(FIRST_CONFIG, "look", "vault", 2)
    builder.records.operations.append(OperatorOperation(50, "config", None, 2, rejected, status=400))
    builder.add_arrival(builder.add_attempt(100), service="vault")
    assert builder.violated_rules() == {"CONFIG"}
