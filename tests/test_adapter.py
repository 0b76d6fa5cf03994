"""Tests of the adapter: lines of JSON in, lines of JSON out, and the errors for malformed input."""

from __future__ import annotations

import io
import json
import sys
from typing import Any

import pytest

from hallhitch import adapter
from hallhitch.decision import Gateway, api
from hallhitch.decision.settings import parse_settings

PROFILE: dict[str, Any] = {
    "balancers": 2,
    "index": 0,
    "unheard-of": [1],
    "classes": [{"name": "read", "aim": 800.0, "deadline": 2000.0, "repeat": "pure", "group": "all"}],
    "tiers-of-service": [{"name": "p", "per-second": 2.0, "peak-units": 4.0, "worth-factor": 1.0}],
    "family-info": {"shared-counter": True, "counter-timeout": 30.0},
}
ENTRY = {
    "server": "10.0.0.1:80",
    "condition": "healthy",
    "campus": 0,
    "block": 0,
    "online-since": None,
    "heft": 1,
    "model": 0,
}
LAUNCH = {"cmd": "Launch", "rng-seed": 3, "profile-data": PROFILE}
SERVER_LIST = {"cmd": "Discovery", "scope": "Persisted", "seq-no": 1, "entries": [ENTRY]}
NEW_REQUEST = {
    "cmd": "NewRequest",
    "op-id": 5,
    "quota-units": 2,
    "qos": 0,
    "attrs": 1,
    "patience-left": 500.0,
    "set-size": 2,
    "terms": 0,
    "client-id": "cust/a",
    "set-from": 1,
}


def make_line(ts: float, *events: dict[str, Any]) -> str:
    """Return one line of input for one gateway."""
    return json.dumps({"ts": ts, "groups": [{"who": "gateway_0", "happened": list(events)}]})


def run_adapter(monkeypatch: pytest.MonkeyPatch, *lines: str) -> int:
    """Run the adapter on lines of input and return its exit status."""
    monkeypatch.setattr(sys, "stdin", io.StringIO("\n".join(lines) + "\n"))
    return adapter.main()


def test_request_from_start_to_end() -> None:
    host = adapter.Host()
    assert host.handle_line('{"ts":1.0,"groups":[]}') == {"groups": []}
    first = host.handle_line(make_line(10.0, LAUNCH, SERVER_LIST, NEW_REQUEST))["groups"][0]["decisions"]
    count = next(d for d in first if d["cmd"] == "AddAndGet")
    assert count["amount"] == 2
    answer = {"cmd": "CountResult", "status": "success", "level": 2, "lag": 2}
    answer["entry-name"] = count["entry-name"]
    sent = host.handle_line(make_line(12.0, answer))["groups"][0]["decisions"]
    assert {"cmd": "Assign", "op-id": 5, "server": "10.0.0.1:80", "limit": 0.0} in sent
    reply = {
        "cmd": "Reply",
        "op-id": 5,
        "send-no": 0,
        "server": "10.0.0.1:80",
        "status": "success",
        "lag": 9.0,
        "ended": True,
        "quota-use": None,
        "true-units": None,
        "stats": {"waiting": 1},
    }
    assert host.handle_line(make_line(30.0, reply, {"cmd": "Aborted", "op-id": 5})) == {"groups": []}


def test_every_event_is_parsed() -> None:
    host = adapter.Host()
    host.handle_line(make_line(10.0, {"cmd": "Retire"}, LAUNCH, LAUNCH, SERVER_LIST, SERVER_LIST))
    events: list[dict[str, Any]] = [
        {"cmd": "HeadReceived", "op-id": 1, "send-no": 0, "server": "x", "lag": 1.0},
        {"cmd": "FromPeer", "author": 1, "octets": "hi"},
        {"cmd": "CheckResult", "status": "timed_out", "lag": 3.0, "server": "x", "stats": None},
        {"cmd": "DeadlineHit", "token": 77},
        {"cmd": "Aborted", "op-id": 9},
        {"cmd": "CountResult", "status": "overloaded", "level": None, "entry-name": 4, "lag": 1.0},
        {"cmd": "Discovery", "scope": "Error", "seq-no": 2, "entries": None},
        {"cmd": "Unheard"},
    ]
    reply = host.handle_line(make_line(11.0, *events))
    assert "InternalError" not in json.dumps(reply)


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (api.Send(1, "s", 5.0), {"cmd": "Assign", "op-id": 1, "server": "s", "limit": 5.0}),
        (api.Cancel(1, 2), {"cmd": "Withdraw", "op-id": 1, "send-no": 2}),
        (api.Reject(1, 9.0), {"cmd": "TurnAway", "op-id": 1, "retry-in": 9.0}),
        (api.Fail(1), {"cmd": "Abort", "op-id": 1}),
        (api.Count(7, 2.0, 9.0), {"cmd": "AddAndGet", "amount": 2.0, "expire-in": 9.0, "entry-name": 7}),
        (api.SetTimer(5.0, 1), {"cmd": "Sleep", "sleep-for": 5.0, "token": 1}),
        (api.Probe("s"), {"cmd": "Inspect", "server": "s"}),
        (api.WatchList(), {"cmd": "Track", "enable": True}),
        (api.FetchList(), {"cmd": "Refresh"}),
        (api.Log("x"), {"cmd": "Debug", "message": "x"}),
    ],
)
def test_every_action_is_encoded(action: api.Action, expected: dict[str, Any]) -> None:
    assert adapter.encode(action) == expected


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("{", "JSON"),
        ("[]", "ts"),
        ('{"ts":1}', "groups"),
        ('{"ts":1,"groups":[{"happened":[]}]}', "who"),
        (make_line(1.0, {"cmd": "Launch", "rng-seed": 1, "profile-data": {"balancers": 1, "index": 0}}), "classes"),
        (make_line(1.0, LAUNCH, {**NEW_REQUEST, "op-id": None}), "op-id"),
        (make_line(1.0, LAUNCH, {**SERVER_LIST, "scope": "Odd"}), "scope"),
        (make_line(1.0, {**LAUNCH, "profile-data": {**PROFILE, "balancers": 0}}), "gateways"),
    ],
)
def test_error_names_the_malformed_field(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], line: str, field: str
) -> None:
    assert run_adapter(monkeypatch, line) == 2
    text = capsys.readouterr().err
    assert field in text and len(text.splitlines()) == 1


def test_failure_of_the_policy_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    host = adapter.Host()
    host.handle_line(make_line(10.0, LAUNCH, SERVER_LIST))
    monkeypatch.setattr(Gateway, "handle", lambda *_: 1 / 0)
    decisions = host.handle_line(make_line(11.0, NEW_REQUEST))["groups"][0]["decisions"]
    assert decisions[0]["cmd"] == "InternalError"


def test_empty_input_succeeds(monkeypatch: pytest.MonkeyPatch) -> None:
    assert run_adapter(monkeypatch, "", '{"ts":1,"groups":[]}') == 0


def test_keepalive_time_is_parsed() -> None:
    limits = {"keepalive": 7000.0, "connect-timeout": 90.0}
    assert parse_settings(PROFILE | {"limits": limits}).keepalive == 7000.0
    assert parse_settings(PROFILE).keepalive > 0
