"""The checker on logs whose verdict is known: each rule on both sides of its edge."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any

import pytest

from hallhitch.lab.emulator.operator_config import config_document, move_route
from hallhitch.lab.emulator.records import (
    BackendArrival,
    CheckBounds,
    ClientAttempt,
    ColdPeriod,
    ConfigRead,
    FaultInterval,
    ListingChange,
    OperatorOperation,
    Records,
)
from hallhitch.lab.emulator.rules import check_records
from hallhitch.lab.emulator.spec import SERVED_HOST, EmulatorSpec, RequestKind

FIGURES = CheckBounds(
    quota_window_ms=1000,
    quota_slack=0,
    quota_overshoot_ratio=0.0,
    retry_budget_slack=2,
    cold_slack=0,
    cold_overshoot_ratio=1.0,
)
FIRST = config_document(EmulatorSpec(), 1)
KEY = EmulatorSpec().api_keys(EmulatorSpec().tenants[0])[0]


class Log:
    """A log in the making: version 1 was acknowledged at 0, all is calm."""

    def __init__(self) -> None:
        self.records = Records(
            operations=[OperatorOperation(-100, "config", 0.0, 1, FIRST, status=200)],
            process_starts=[(-1000, "edge-1")],
        )

    def sent(self, at: float, kind: str = "look", status: int = 200, **told: Any) -> ClientAttempt:
        """A client's try, answered by a whole success of the backend `b1` unless told otherwise."""
        id = f"{len(self.records.attempts) + 1:x}"
        made = ClientAttempt(
            id,
            at,
            "region-1",
            "zone-1a",
            "edge-1",
            "GET",
            SERVED_HOST,
            f"/{kind}/1",
            KEY,
            0,
            2000.0,
            ended_at_ms=at + 50,
            status=status,
            seal=f"b1.{id}" if status == 200 else "",
            echoed_id=id if status == 200 else "",
            response_digest=7 if status == 200 else 0,
            is_complete=True,
        )
        for name, value in told.items():
            setattr(made, name, value)
        self.records.attempts.append(made)
        return made

    def ran(self, t: ClientAttempt, at: float | None = None, instance: str = "b1", **told: Any) -> BackendArrival:
        """Its arrival at a backend, which runs it."""
        at = t.sent_at_ms + 10 if at is None else at
        made = BackendArrival(
            next(self.records.arrival_numbers),
            t.id,
            at,
            instance,
            "shelf",
            "zone-1a",
            "region-1",
            "edge-1",
            t.method,
            t.path,
            "red",
            "",
            t.body_digest,
            started_at_ms=at,
            status=200,
            seal=f"{instance}.{t.id}",
            response_digest=7,
        )
        for name, value in told.items():
            setattr(made, name, value)
        self.records.arrivals.append(made)
        return made

    def broken(self) -> set[str]:
        """The rules that are broken."""
        return {name for name, found in check_records(self.records, FIGURES).items() if found}


Fill = Callable[[Log], object]


def _both(log: Log) -> None:
    t = log.sent(100, "stamp")
    log.ran(t)
    log.ran(t, 150, "b2")


def _repeat(log: Log) -> None:
    t = log.sent(100, "look")
    log.ran(t, instance="b2", status=0, seal="")
    log.ran(t, 150)


def _refused(kind: str, begun: float | None) -> Fill:
    def fill(log: Log) -> None:
        t = log.sent(100, kind, status=503)
        log.ran(t, started_at_ms=begun, status=200 if begun else 503, seal="")

    return fill


def _answered(**told: Any) -> Fill:
    return lambda log: log.ran(log.sent(100, **told))


def _arrived(**told: Any) -> Fill:
    return lambda log: log.ran(log.sent(100), **told)


def _drained(at: float, **told: Any) -> Fill:
    def fill(log: Log) -> None:
        log.records.listing_changes.append(ListingChange(1000, "b1"))
        log.ran(log.sent(at - 10), **told)

    return fill


def _list_away(log: Log) -> None:
    log.records.fault_intervals.append(FaultInterval(1500, 3500, "platform", "down"))
    _drained(5000)(log)


def _evacuated(at: float, back: float | None = None) -> Fill:
    def fill(log: Log) -> None:
        log.records.operations.append(OperatorOperation(900, "evacuate", 1000.0, zone="zone-1a", status=200))
        if back is not None:
            log.records.operations.append(OperatorOperation(back, "return", back + 10, zone="zone-1a", status=200))
        log.ran(log.sent(at - 10))

    return fill


def _cold(count: int, apart: float, late: float = 10.0) -> Fill:
    def fill(log: Log) -> None:
        log.records.cold_periods.append(ColdPeriod(0, 60_000, "b1", 3.0))
        for number in range(count):
            log.ran(log.sent(100 + number * apart), 100 + number * apart + late)

    return fill


def _tenant(count: int, rate: int) -> Fill:
    """So many runs, spread over the borders of whole seconds; the tenant may have `rate` a second, no burst."""

    def fill(log: Log) -> None:
        config = copy.deepcopy(dict(FIRST))
        config["tenants"]["red"] |= {"ratePerS": rate, "burstSize": 0}
        log.records.operations = [OperatorOperation(-100, "config", 0.0, 1, config, status=200)]
        for number in range(count):
            log.ran(log.sent(20_600 + number * 800 / count))

    return fill


def _lowered(at: float) -> Fill:
    """The limit falls from 20 to 5 a second with a version acknowledged at 0; ten run in a second at `at`."""

    def fill(log: Log) -> None:
        for version, rate in ((1, 20), (2, 5)):
            config = copy.deepcopy(dict(FIRST)) | {"configVersion": version}
            config["tenants"]["red"] |= {"ratePerS": rate, "burstSize": 0}
            log.records.operations.append(OperatorOperation(-100, "config", 0.0, version, config, status=200))
        del log.records.operations[0]
        for number in range(10):
            log.ran(log.sent(at + number * 50))

    return fill


def _further(count: int, requests: int) -> Fill:
    def fill(log: Log) -> None:
        for number in range(requests):
            t = log.sent(100 + number * 10)
            if number >= requests - count:
                log.ran(t, instance="b2", started_at_ms=None, status=503, seal="")
            log.ran(t, t.sent_at_ms + 20)

    return fill


def _moved(at: float, service: str = "shelf", **told: Any) -> Fill:
    """Version 2 sends `look` to the vault, acknowledged at 1000; then one request, handled at `service`."""

    def fill(log: Log) -> None:
        log.records.operations.append(
            OperatorOperation(950, "config", 1000.0, 2, move_route(FIRST, "look", "vault", 2), status=200)
        )
        log.ran(log.sent(at), service=service, **told)

    return fill


def _back(after: float) -> Fill:
    def fill(log: Log) -> None:
        log.records.operations.append(
            OperatorOperation(950, "config", 1000.0, 2, move_route(FIRST, "look", "vault", 2), status=200)
        )
        log.ran(log.sent(1100), service="vault")
        log.ran(log.sent(1110 + after), service="shelf")

    return fill


def _added(status: int, at: float) -> Fill:
    """Version 2 adds a route; a request on it is refused."""

    def fill(log: Log) -> None:
        more = RequestKind("fresh", "idempotent", (("shelf", 1),), 1, 500, 2000)
        log.records.operations.append(
            OperatorOperation(950, "config", 1000.0, 2, config_document(EmulatorSpec(), 2, [more]), status=200)
        )
        log.sent(at, "fresh", status=status)

    return fill


def _read(config: Any) -> Fill:
    return lambda log: log.records.config_reads.append(ConfigRead(50_000, config))


def _in_trouble(fill: Fill, whom: str = "edge-1", at: float = 3000, ends: float = 3500) -> Fill:
    def both(log: Log) -> None:
        log.records.fault_intervals.append(FaultInterval(at, ends, whom, "killed"))
        fill(log)

    return both


CASES: list[tuple[str, Fill, set[str]]] = [
    ("a plain run", _arrived(), set()),
    ("unsafe, twice", _both, {"TWICE"}),
    ("repeatable, twice", _repeat, set()),
    ("unsafe, refused, ran", _refused("stamp", 110), {"REFUSED"}),
    ("unsafe, refused, turned away", _refused("stamp", None), set()),
    ("repeatable, refused, ran", _refused("look", 110), set()),
    ("no seal", _answered(seal=""), {"MIXED"}),
    ("a seal of nobody", _answered(seal="b9.1"), {"MIXED"}),
    ("another body", _answered(response_digest=8), {"MIXED"}),
    ("another's answer", _answered(echoed_id="ff"), {"MIXED"}),
    ("a success out of a failure", _arrived(status=500), {"MIXED"}),
    ("an id that nobody sent", _arrived(id="ffff"), {"UNASKED", "MIXED"}),
    ("another path", _arrived(path="/look/2"), {"UNASKED"}),
    ("another tenant", _arrived(tenant="blue"), {"UNASKED"}),
    ("the key itself", _arrived(authorization=f"Token {KEY}"), {"UNASKED"}),
    ("a service that no version allows", _arrived(service="vault"), {"ROUTE", "CONFIG"}),
    ("a key that no version held", _answered(api_key="who"), {"ROUTE", "UNASKED", "CONFIG"}),
    ("drained, in time", _drained(3990), set()),
    ("drained, late", _drained(4100), {"DRAIN"}),
    ("drained, late, 421", _drained(4100, status=421, started_at_ms=None, seal=""), {"MIXED"}),
    ("drained, late, the list was away", _list_away, set()),
    ("drained, late, its gateway was down", _in_trouble(_drained(4100)), set()),
    ("evacuated, in time", _evacuated(5990), set()),
    ("evacuated, late", _evacuated(6100), {"EVAC"}),
    ("evacuated, taken back", _evacuated(6100, back=3000), set()),
    ("evacuated, late, out of touch", _in_trouble(_evacuated(6100)), set()),
    ("cold, as much as it bears", _cold(3, 300), set()),
    ("cold, more", _cold(4, 300), {"FAILBACK"}),
    ("cold, more, sent long before", _cold(4, 300, late=5000), set()),
    ("within the quota", _tenant(10, 10), set()),
    ("beyond the quota in a sliding window", _tenant(11, 10), {"QUOTA"}),
    ("a lower limit not yet binding", _lowered(3500), set()),
    ("a lower limit binding", _lowered(5500), {"QUOTA"}),
    ("as many further tries as allowed", _further(4, 10), set()),
    ("more further tries", _further(5, 10), {"BUDGET"}),
    ("old service, in time", _moved(3990), set()),
    ("old service, late", _moved(4100), {"CONFIG"}),
    ("old service, late, out of touch", _in_trouble(_moved(4100)), set()),
    ("old service, the core unsettled", _in_trouble(_moved(4100), "core"), set()),
    ("new service at once", _moved(960, "vault"), set()),
    ("back to an older version", _back(300), {"CONFIG"}),
    ("back within the slack", _back(100), set()),
    ("an added route refused late", _added(404, 4100), {"CONFIG"}),
    ("an added route refused in time", _added(404, 3900), set()),
    ("an added route busy", _added(503, 4100), set()),
    ("read back", _read(FIRST), set()),
    ("nothing read back", _read(None), {"CONFIG"}),
    ("read back, changed", _read(dict(FIRST) | {"limits": {}}), {"CONFIG"}),
    ("read back, older", lambda log: (_moved(1000, "vault")(log), _read(FIRST)(log)), {"CONFIG"}),
]


@pytest.mark.parametrize(("fill", "expected"), [case[1:] for case in CASES], ids=[case[0] for case in CASES])
def test_rule(fill: Fill, expected: set[str]) -> None:
    log = Log()
    fill(log)
    assert log.broken() == expected


def test_homes_are_kept() -> None:
    """A route with homes: a backend elsewhere breaks the rule, one at home does not."""
    home = RequestKind("near", "idempotent", (("shelf", 1),), 1, 500, 2000, allowed_regions=("region-1",))
    for region, expected in (("region-1", set[str]()), ("region-2", {"HOME"})):
        log = Log()
        log.records.operations.append(
            OperatorOperation(0, "config", 10.0, 2, config_document(EmulatorSpec(), 2, [home]), status=200)
        )
        log.ran(log.sent(100, "near"), region=region)
        assert log.broken() == expected


def test_refused_configuration_is_never_in_force() -> None:
    """What was refused with 4xx allows nothing, though it was sent."""
    log = Log()
    log.records.operations.append(
        OperatorOperation(50, "config", None, 2, move_route(FIRST, "look", "vault", 2), status=400)
    )
    log.ran(log.sent(100), service="vault")
    assert log.broken() == {"CONFIG"}
